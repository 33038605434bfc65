"""Probes of searchers that refuse, accept, close or say nothing."""

import socket
import threading
import time
from contextlib import contextmanager

from basilwall.backend.probe import find_refusing

WINDOW_SECONDS = 0.2


@contextmanager
def listening():
    with socket.create_server(('127.0.0.1', 0)) as listener:
        yield listener, '{}:{}'.format(*listener.getsockname())


def close_all(listener, count):
    """Accept connections and close them, as a full searcher does."""
    for _ in range(count):
        accepted, _ = listener.accept()
        accepted.close()


def test_a_closed_port_refuses():
    with listening() as (listener, address):
        listener.close()
    assert find_refusing([address], WINDOW_SECONDS) == {address}


def test_a_searcher_that_accepts_does_not_refuse():
    with listening() as (_, address):
        assert not find_refusing([address], WINDOW_SECONDS)


def test_a_searcher_that_closes_each_connection_has_not_ended():
    with listening() as (listener, address):
        closing = threading.Thread(
            target=close_all, args=(listener, 100), daemon=True
        )
        closing.start()
        assert not find_refusing([address], WINDOW_SECONDS)


def test_a_process_that_ends_during_the_probe_refuses():
    with listening() as (listener, address):
        ending = threading.Timer(WINDOW_SECONDS / 2, listener.close)
        ending.start()
        started_at = time.monotonic()
        assert find_refusing([address], 5) == {address}
        assert time.monotonic() - started_at < 2
