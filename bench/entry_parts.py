"""Processor time of a part of a scattered query on an entry VM.

The forwarder sends over real connections to searchers that reply at once, in a
thread of their own; only the time of the thread that serves the query counts.
"""

import random
import selectors
import socket
import threading
import time
from collections.abc import Iterable, Iterator
from contextlib import contextmanager
from functools import partial
from pathlib import Path

from basilwall.forwarding.connection import SearcherConnection
from basilwall.forwarding.connection_pools import ConnectionPools
from basilwall.forwarding.context import ForwardingContext
from basilwall.forwarding.forwarder import Forwarder
from basilwall.forwarding.reply_memory import ReplyMemory
from basilwall.forwarding.reporting import RequestMetrics, RequestReporter
from basilwall.forwarding.retry_policy import RetryPolicy
from basilwall.forwarding.socket_transport import SocketTransport
from basilwall.forwarding.superseded import SupersededAttempts
from basilwall.parts.clock import SystemClock
from basilwall.platform.codec import HeaderCodec
from basilwall.records.catalogue import PublishedValue
from basilwall.records.forwarding import Call, Verdict
from basilwall.records.revision import Revision
from basilwall.records.routes import (
    RetrySafety,
    Route,
    RouteTable,
    ScatterGather,
)
from basilwall.records.searcher import Searcher
from basilwall.routing.bounds import Bounds
from basilwall.routing.location import RoundTripTimes, VmLocation
from basilwall.routing.rate_limiter import RateLimiter
from basilwall.routing.routing_state import RoutingState
from basilwall.routing.searcher_links import SearcherLinks
from basilwall.routing.selection import SearcherSelector
from basilwall.simulation.deployment import TABLE_KEY, StaticValueReader
from basilwall.simulation.no_crashes import NoCrashDetector
from bench.report import Row

HOST = '127.0.0.1'
ROUTE_HOST = 'h'
SHARDS = 42
REPLICAS = 3
ZONES = ('near', 'next', 'far')
QUERIES = 60
WARMUP_QUERIES = 10
REPLY_BODY = b'0123456789abcdef' * 62
BOUNDS = Bounds(0.2, 400, 10, 6, 4, 4)
CALL_HEAD = (
    b'GET /all/nono601/no91/2f HTTP/1.1\r\nHost: h\r\n'
    b'Request-Id: 9c41d07be2a35f68\r\n'
)
MICROSECONDS_PER_SECOND = 1_000_000


def run(_: Path) -> Iterable[Row]:
    """Measure the processor time that the serving thread takes for a part."""
    with _replying_searchers(SHARDS * REPLICAS) as addresses:
        forwarder = _make_forwarder(addresses)
        for _number in range(WARMUP_QUERIES):
            _serve(forwarder)
        started = time.thread_time()
        for _number in range(QUERIES):
            _serve(forwarder)
        seconds = time.thread_time() - started
    part_seconds = seconds / QUERIES / SHARDS
    microseconds = part_seconds * MICROSECONDS_PER_SECOND
    yield Row('processor time of a part', f'{microseconds:.0f} us')
    yield Row('parts a core-second', f'{1 / part_seconds:.0f}')


def _serve(forwarder: Forwarder) -> None:
    now = time.monotonic()
    call = Call(
        b'GET',
        b'/all/nono601/no91/2f',
        ROUTE_HOST,
        b'9c41d07be2a35f68',
        CALL_HEAD,
        b'',
        now,
        now + 5,
    )
    answer = forwarder.serve(call, None)
    assert answer.verdict is Verdict.ANSWERED


@contextmanager
def _replying_searchers(count: int) -> Iterator[list[str]]:
    listeners = [socket.create_server((HOST, 0)) for _ in range(count)]
    stopping = threading.Event()
    thread = threading.Thread(
        target=_reply_until_stopped, args=(listeners, stopping)
    )
    thread.start()
    try:
        yield [f'{HOST}:{one.getsockname()[1]}' for one in listeners]
    finally:
        stopping.set()
        thread.join()


def _reply_until_stopped(
    listeners: list[socket.socket], stopping: threading.Event
) -> None:
    reply = (
        b'HTTP/1.1 200 OK\r\nRequest-Id: 9c41d07be2a35f68\r\n'
        b'Server-Stamp: 3e1b.07.5a2.600.0.c9f2a4d1\r\n'
        b'Keep-Alive: timeout=60\r\n'
        b'Content-Length: %d\r\n\r\n%b' % (len(REPLY_BODY), REPLY_BODY)
    )
    with selectors.DefaultSelector() as selector:
        for listener in listeners:
            selector.register(listener, selectors.EVENT_READ, None)
        while not stopping.is_set():
            for key, _ in selector.select(0.1):
                if key.data is None:
                    accepted, _ = key.fileobj.accept()
                    selector.register(accepted, selectors.EVENT_READ, accepted)
                elif key.data.recv(65_536):
                    key.data.sendall(reply)
                else:
                    selector.unregister(key.data)
                    key.data.close()
        for key in tuple(selector.get_map().values()):
            key.fileobj.close()


def _make_forwarder(addresses: list[str]) -> Forwarder:
    clock, rng = SystemClock(), random.Random(1)
    state = _make_routing_state(addresses, clock)
    location = VmLocation('near', dict(zip(ZONES, ZONES, strict=True)))
    round_trips = RoundTripTimes(location)
    for zone, seconds in zip(ZONES, (0.001, 0.002, 0.04), strict=True):
        round_trips.record_connect_time(zone, seconds)
    pools = ConnectionPools(
        state,
        round_trips,
        clock,
        lambda: 3,
        partial(SearcherConnection, clock=clock),
    )
    limiter = RateLimiter(clock, rng, lambda: 3, state.searchers)
    selector = SearcherSelector(state, round_trips, pools, limiter, clock, rng)
    detector = NoCrashDetector()
    links = SearcherLinks(state.addresses, clock, rng, lambda *_: set())
    transport = SocketTransport(
        state.is_usable,
        pools,
        HeaderCodec(),
        links,
        ReplyMemory(100_000_000, clock),
        SupersededAttempts(selector, detector, clock),
        clock,
    )
    policy = RetryPolicy(lambda: BOUNDS, lambda: 3, clock)
    context = ForwardingContext(
        state, selector, transport, policy, detector, clock
    )
    reporter = RequestReporter(_NoMetrics(), time.monotonic, float)
    return Forwarder(context, reporter, rng)


class _NoMetrics(RequestMetrics):
    def observe(self, *_: object) -> None:
        """Do nothing."""


def _make_routing_state(
    addresses: list[str], clock: SystemClock
) -> RoutingState:
    shards = tuple(f'shard-{number}' for number in range(SHARDS))
    searchers = {
        f's-{number}': Searcher(
            f's-{number}',
            shards[number % SHARDS],
            address,
            ZONES[number // SHARDS],
            3,
            False,
            0,
            1,
        )
        for number, address in enumerate(addresses)
    }
    route = Route(
        'r',
        ROUTE_HOST,
        b'/all/',
        RetrySafety.IDEMPOTENT,
        2,
        2,
        1,
        0,
        scatter_gather=ScatterGather(shards, 50, 0.9),
    )
    table = RouteTable(1, {ROUTE_HOST: (route,)}, dict.fromkeys(shards, 125))
    state = RoutingState(StaticValueReader(table, searchers), clock)
    for revision, key in enumerate((TABLE_KEY, *searchers), start=1):
        state.accept(PublishedValue(key, Revision(0, revision), b'listed'))
    return state
