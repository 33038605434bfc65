"""Tests of idle connections: when they are closed, and by which limits."""

import contextlib
import itertools
import socket
import threading
import time

import pytest
from hypothesis import given
from hypothesis import strategies as st

from basilwall.ingress.open_connections import OpenConnection
from basilwall.ingress.reading import (
    FIRST_REQUEST_SECONDS,
    BadRequest,
    CallerGoneError,
    CompleteRequest,
    RequestReader,
)
from basilwall.parts.clock import SystemClock
from basilwall.parts.memory_budget import MemoryBudget
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


class Reader(RequestReader):
    """Reads requests with an account of their own."""

    def __init__(self, vm, limits, clock, is_closing):
        connection = OpenConnection(vm, clock)
        super().__init__(connection, limits, clock, is_closing, bool)

    def next_request(self):
        return super().next_request(MemoryBudget(10_000_000).account())


def make_reader(vm, *, is_closing):
    return Reader(vm, CallerLimits, SystemClock(), lambda: is_closing)


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


@pytest.mark.parametrize('is_first', [True, False])
@pytest.mark.parametrize('second_part_bytes', [0, SECOND_PART_BYTES])
@pytest.mark.parametrize(
    ('name', 'lower', 'higher', 'request_bytes'),
    [
        ('max_body_bytes', 10, 1000, post(100)),
        ('max_header_bytes', 100, 4000, post(1, b'f' * 2000)),
    ],
)
def test_a_request_on_an_idle_connection_is_read_under_the_limits_in_force(
    ends, name, lower, higher, request_bytes, is_first, second_part_bytes
):
    caller, vm = ends
    limits = ChangingLimits(**{name: lower})
    reader = Reader(vm, limits, SystemClock(), bool)
    if not is_first:
        caller.sendall(REQUEST)
        reader.next_request()

    def raise_and_send():
        limits.current = CallerLimits(**{name: higher})
        caller.sendall(request_bytes[: -second_part_bytes or None])
        if second_part_bytes:
            time.sleep(DELAY_SECONDS)
            caller.sendall(request_bytes[-second_part_bytes:])

    threading.Timer(DELAY_SECONDS, raise_and_send).start()
    assert isinstance(reader.next_request(), CompleteRequest)


def test_a_lower_limit_holds_for_a_connection_that_was_idle(ends):
    caller, vm = ends
    limits = ChangingLimits(max_body_bytes=1000)
    reader = Reader(vm, limits, SystemClock(), bool)

    def lower_and_send():
        limits.current = CallerLimits(max_body_bytes=10)
        caller.sendall(post(100))

    threading.Timer(DELAY_SECONDS, lower_and_send).start()
    assert isinstance(reader.next_request(), BadRequest)


def read_in_parts(stream, cuts, limits):
    """Return what is read of a stream that comes in parts."""
    caller, vm = socket.socketpair()
    outcomes = []
    with caller, vm:
        reader = Reader(vm, lambda: limits, SystemClock(), bool)
        offsets = sorted({0, len(stream), *(cut % len(stream) for cut in cuts)})
        parts = [
            stream[start:end] for start, end in itertools.pairwise(offsets)
        ]
        received = reader._receive

        def receive_next():
            if parts:
                caller.sendall(parts.pop(0))
            else:
                caller.shutdown(socket.SHUT_WR)
            return received()

        reader._receive = receive_next
        with contextlib.suppress(CallerGoneError):
            while not outcomes or isinstance(outcomes[-1], CompleteRequest):
                outcomes.append(reader.next_request())
    return [
        (one.head.target, one.head.headers, one.body)
        if isinstance(one, CompleteRequest)
        else (one.status, one.detail)
        for one in outcomes
    ]


def chunked(body, size, extension=b''):
    """Return a request whose body comes in chunks of a size."""
    chunks = [body[at : at + size] for at in range(0, len(body), size)]
    lines = [b'%x%b\r\n%b\r\n' % (len(one), extension, one) for one in chunks]
    head = b'POST /c HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n'
    return b''.join([head, *lines, b'0\r\n\r\n'])


SMALL_LIMITS = CallerLimits(max_header_bytes=200, max_body_bytes=60)
BODIES = st.text('\r\n0ab', max_size=70).map(str.encode)
REQUESTS = st.one_of(
    st.integers(0, 70).map(post),
    st.integers(120, 170).map(lambda size: post(1, b'f' * size)),
    st.builds(
        chunked,
        BODIES,
        st.integers(1, 30),
        st.sampled_from([b'', b';x=y', b';' + b'x' * 300]),
    ),
    st.sampled_from(
        [
            REQUEST,
            b'\r\n\r\n' + REQUEST,
            b'nonsense\r\n\r\n',
            REQUEST.replace(
                b'Host', b'Upgrade: x\r\nConnection: upgrade\r\nHost'
            ),
            chunked(b'ab', 1).replace(b'0\r\n\r\n', b'0\r\nT: 1\r\n\r\n'),
            chunked(b'ab', 1).replace(b'1\r\na', b'x\r\na'),
        ]
    ),
)


@given(
    st.lists(REQUESTS, min_size=1, max_size=3),
    st.lists(st.integers(0, 2000), max_size=12),
)
def test_a_request_is_read_alike_however_its_bytes_are_cut(requests, cuts):
    stream = b''.join(requests)
    whole = read_in_parts(stream, [], SMALL_LIMITS)
    assert read_in_parts(stream, cuts, SMALL_LIMITS) == whole
    assert read_in_parts(stream, range(len(stream)), SMALL_LIMITS) == whole


@pytest.mark.parametrize('cuts', [[], [100]])
@pytest.mark.parametrize(('size', 'status'), [(8192, None), (8193, 431)])
def test_a_head_of_the_limit_is_read_and_a_longer_one_is_not(
    size, status, cuts
):
    filler = b'f' * (size - len(post(0)))
    limits = CallerLimits(max_header_bytes=8192)
    [outcome] = read_in_parts(post(0, filler), cuts, limits)
    is_read = len(outcome) == 3
    assert is_read is (status is None)
    assert is_read or outcome[0] == status


def test_a_request_that_offers_another_protocol_is_read_with_its_body():
    offer = b'Host: a\r\nUpgrade: h2c\r\nConnection: Upgrade\r\n'
    for stream in (post(3), chunked(b'xxx', 2)):
        upgraded = stream.replace(b'Host: a\r\n', offer)
        [outcome] = read_in_parts(upgraded, [], CallerLimits())
        assert outcome[-1] == b'xxx'


def test_a_lower_limit_of_heads_holds_on_a_kept_connection(ends):
    caller, vm = ends
    limits = ChangingLimits(max_header_bytes=60_000)
    reader = Reader(vm, limits, SystemClock(), bool)
    long_head = post(0, b'f' * 20_000)
    caller.sendall(long_head)
    assert isinstance(reader.next_request(), CompleteRequest)
    limits.current = CallerLimits(max_header_bytes=8192)
    caller.sendall(long_head)
    assert reader.next_request().status == 431
