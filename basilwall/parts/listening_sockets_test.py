"""A socket that refuses new connections keeps the established ones."""

import socket

import pytest

from basilwall.parts.listening_sockets import refuse_new_connections


def test_an_established_connection_is_accepted_and_no_new_one():
    with socket.create_server(('127.0.0.1', 0)) as listener:
        address = listener.getsockname()
        with socket.create_connection(address) as established:
            refuse_new_connections(listener)
            with pytest.raises(TimeoutError):
                socket.create_connection(address, timeout=0.3)
            accepted, _ = listener.accept()
            with accepted:
                established.sendall(b'a')
                assert accepted.recv(1) == b'a'
