"""Tests of idle connections: when they are closed, and by which limits."""

import socket
import threading
import time

import h11
import pytest

from basilwall.ingress.reading import (
    FIRST_REQUEST_SECONDS,
    BadRequest,
    CallerGoneError,
    CompleteRequest,
    RequestReader,
)
from basilwall.parts.clock import SystemClock
from basilwall.records.routes import CallerLimits

REQUEST = b'GET / HTTP/1.1\r\nHost: a\r\n\r\n'
#: Shorter than `FIRST_REQUEST_SECONDS`.
DELAY_SECONDS = 0.1
#: The end of a request, which reaches into its head if its body is short.
SECOND_PART_BYTES = 20


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


class ChangingLimits:
    """Limits of callers that a test replaces."""

    def __init__(self, **limits):
        self.current = CallerLimits(**limits)

    def __call__(self):
        return self.current


def post(size, filler=b''):
    head = b'POST / HTTP/1.1\r\nHost: a\r\nX: %b\r\n' % filler
    return b'%bContent-Length: %d\r\n\r\n' % (head, size) + b'x' * size


def answer(reader):
    """Answer the last request, so that the next one can be read."""
    reader.http.send(
        h11.Response(status_code=200, headers=[(b'Content-Length', b'0')])
    )
    reader.http.send(h11.EndOfMessage())


@pytest.mark.parametrize('is_first', [True, False])
@pytest.mark.parametrize(
    ('name', 'lower', 'higher', 'request_bytes'),
    [
        ('max_body_bytes', 10, 1000, post(100)),
        ('max_header_bytes', 100, 4000, post(1, b'f' * 2000)),
    ],
)
def test_a_request_on_an_idle_connection_is_read_under_the_limits_in_force(
    ends, name, lower, higher, request_bytes, is_first
):
    caller, vm = ends
    limits = ChangingLimits(**{name: lower})
    reader = RequestReader(vm, limits, SystemClock(), bool)
    if not is_first:
        caller.sendall(REQUEST)
        reader.next_request()
        answer(reader)

    def raise_and_send():
        limits.current = CallerLimits(**{name: higher})
        # The limit of a head is that of one which has come in part.
        caller.sendall(request_bytes[:-SECOND_PART_BYTES])
        time.sleep(DELAY_SECONDS)
        caller.sendall(request_bytes[-SECOND_PART_BYTES:])

    threading.Timer(DELAY_SECONDS, raise_and_send).start()
    assert isinstance(reader.next_request(), CompleteRequest)


def test_a_lower_limit_holds_for_a_connection_that_was_idle(ends):
    caller, vm = ends
    limits = ChangingLimits(max_body_bytes=1000)
    reader = RequestReader(vm, limits, SystemClock(), bool)

    def lower_and_send():
        limits.current = CallerLimits(max_body_bytes=10)
        caller.sendall(post(100))

    threading.Timer(DELAY_SECONDS, lower_and_send).start()
    assert isinstance(reader.next_request(), BadRequest)
