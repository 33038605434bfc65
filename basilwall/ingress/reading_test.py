"""Tests of when a connection without a request in progress is closed."""

import socket
import threading
import time

import pytest

from basilwall.ingress.reading import (
    FIRST_REQUEST_SECONDS,
    CallerGoneError,
    RequestReader,
)
from basilwall.parts.clock import SystemClock
from basilwall.records.routes import CallerLimits

REQUEST = b'GET / HTTP/1.1\r\nHost: a\r\n\r\n'
#: Shorter than `FIRST_REQUEST_SECONDS`.
DELAY_SECONDS = 0.1


@pytest.fixture
def ends():
    caller, vm = socket.socketpair()
    with caller, vm:
        yield caller, vm


def make_reader(vm, *, is_closing):
    return RequestReader(vm, CallerLimits, SystemClock(), lambda: is_closing)


def test_a_stop_does_not_cut_off_a_request_that_has_arrived(ends):
    caller, vm = ends
    caller.sendall(REQUEST)
    reader = make_reader(vm, is_closing=True)
    assert reader.next_request().head.target == b'/'


def test_a_stop_does_not_cut_off_the_first_request_of_a_new_connection(ends):
    caller, vm = ends
    reader = make_reader(vm, is_closing=True)
    threading.Timer(DELAY_SECONDS, caller.sendall, [REQUEST]).start()
    assert reader.next_request().head.target == b'/'


def test_a_stop_does_not_cut_off_a_request_on_a_connection_used_before(ends):
    caller, vm = ends
    reader = make_reader(vm, is_closing=True)
    time.sleep(FIRST_REQUEST_SECONDS)
    caller.sendall(REQUEST)
    assert reader.next_request().head.target == b'/'


def test_a_stop_closes_a_connection_that_stays_idle(ends):
    _, vm = ends
    reader = make_reader(vm, is_closing=True)
    with pytest.raises(CallerGoneError):
        reader.next_request()
