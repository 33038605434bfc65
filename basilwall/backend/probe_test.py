"""Probes of searchers that refuse, accept, close or say nothing."""

import itertools
import socket
import struct
import threading
import time
from contextlib import contextmanager, suppress

import pytest

from basilwall.backend.probe import find_dead, find_ended, find_refusing

WINDOW_SECONDS = 0.2
ALL_PROBES = (find_dead, find_ended, find_refusing)


@contextmanager
def listening(backlog=None):
    with socket.create_server(('127.0.0.1', 0), backlog=backlog) as listener:
        yield listener, '{}:{}'.format(*listener.getsockname())


def end_all(listener, has_reset):
    """Accept connections and close or reset them, as a full searcher does."""
    linger = struct.pack('ii', int(has_reset), 0)
    with suppress(OSError):
        while True:
            accepted, _ = listener.accept()
            accepted.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            accepted.close()


@pytest.mark.parametrize('probe', ALL_PROBES)
def test_a_closed_port_is_found(probe):
    with listening() as (listener, address):
        listener.close()
    assert probe([address], WINDOW_SECONDS) == {address}


@pytest.mark.parametrize('probe', ALL_PROBES)
def test_a_searcher_that_accepts_is_not_found(probe):
    with listening() as (_, address):
        assert not probe([address], WINDOW_SECONDS)


@pytest.mark.parametrize('probe', ALL_PROBES)
def test_a_probe_that_was_held_up_finds_no_living_searcher(probe, monkeypatch):
    # The whole window passes between the connect and the first look.
    clock = itertools.count()
    monkeypatch.setattr('time.monotonic', lambda: next(clock))
    with listening() as (_, address):
        assert not probe([address], WINDOW_SECONDS)


@pytest.mark.parametrize('probe', [find_ended, find_refusing])
@pytest.mark.parametrize('has_reset', [False, True])
def test_a_searcher_that_ends_each_connection_has_not_ended(has_reset, probe):
    with listening() as (listener, address):
        threading.Thread(
            target=end_all, args=(listener, has_reset), daemon=True
        ).start()
        for _ in range(5):
            assert not probe([address], WINDOW_SECONDS)


@pytest.mark.parametrize('probe', [find_ended, find_refusing])
def test_a_searcher_that_stays_silent_has_not_ended(probe):
    with listening(backlog=0) as (listener, address), suppress(OSError):
        # The queue of connections is full, so that no further one is answered.
        queued = [socket.socket() for _ in range(3)]
        for connection in queued:
            connection.setblocking(False)
            connection.connect_ex(listener.getsockname())
        assert not probe([address], WINDOW_SECONDS)


def test_a_process_that_ends_during_the_probe_is_found():
    with listening() as (listener, address):
        ending = threading.Timer(WINDOW_SECONDS / 2, listener.close)
        ending.start()
        started_at = time.monotonic()
        assert find_ended([address], 5) == {address}
        assert time.monotonic() - started_at < 2
