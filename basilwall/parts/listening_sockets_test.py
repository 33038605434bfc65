"""A listener that refuses new connections keeps those already made."""

import socket

import pytest

from basilwall.parts.listening_sockets import refuse_new_connections


def test_a_connection_that_was_made_is_taken_and_no_other_begins():
    with socket.create_server(('127.0.0.1', 0)) as listener:
        address = listener.getsockname()
        with socket.create_connection(address) as early:
            refuse_new_connections(listener)
            with pytest.raises(TimeoutError):
                socket.create_connection(address, timeout=0.3)
            taken, _ = listener.accept()
            with taken:
                early.sendall(b'a')
                assert taken.recv(1) == b'a'
