"""Probes of searchers that refuse, accept, close or say nothing."""

import socket
import struct
import threading
import time
from contextlib import contextmanager, suppress

import pytest

from basilwall.backend.probe import find_refusing

WINDOW_SECONDS = 0.2


@contextmanager
def listening():
    with socket.create_server(('127.0.0.1', 0)) as listener:
        yield listener, '{}:{}'.format(*listener.getsockname())


def end_all(listener, has_reset):
    """Accept connections and close or reset them, as a full searcher does."""
    linger = struct.pack('ii', int(has_reset), 0)
    with suppress(OSError):
        while True:
            accepted, _ = listener.accept()
            accepted.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            accepted.close()


def test_a_closed_port_refuses():
    with listening() as (listener, address):
        listener.close()
    assert find_refusing([address], WINDOW_SECONDS) == {address}


def test_a_searcher_that_accepts_does_not_refuse():
    with listening() as (_, address):
        assert not find_refusing([address], WINDOW_SECONDS)


@pytest.mark.parametrize('has_reset', [False, True])
def test_a_searcher_that_ends_each_connection_has_not_ended(has_reset):
    with listening() as (listener, address):
        threading.Thread(
            target=end_all, args=(listener, has_reset), daemon=True
        ).start()
        for _ in range(5):
            assert not find_refusing([address], WINDOW_SECONDS)


def test_a_process_that_ends_during_the_probe_refuses():
    with listening() as (listener, address):
        ending = threading.Timer(WINDOW_SECONDS / 2, listener.close)
        ending.start()
        started_at = time.monotonic()
        assert find_refusing([address], 5) == {address}
        assert time.monotonic() - started_at < 2
