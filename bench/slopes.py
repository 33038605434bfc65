"""Slopes of state and work by size, the ground of docs/CAPACITY.md.

Each measurement runs at four sizes or more and gives a straight line: what
one more entry costs in bytes, and one more operation in microseconds.
"""

import gc
import random
import socket
import statistics
import time
import tracemalloc
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from pathlib import Path

import msgspec

from basilwall.backend.pool import SearcherPool
from basilwall.parts.clock import ManualClock, SystemClock
from basilwall.parts.fingerprints import fingerprint
from basilwall.parts.leaving_searchers import LeavingSearchers
from basilwall.parts.membership import Member, Membership
from basilwall.parts.quarantine import Quarantine
from basilwall.parts.revisions import RevisionRegister
from basilwall.parts.tasks import task_group
from basilwall.parts.ticket_issuer import TicketIssuer
from basilwall.parts.tickets import TicketTable
from basilwall.records.catalogue import (
    Catalogue,
    FleetList,
    FleetVm,
    Part,
    PublishedValue,
    Snapshot,
)
from basilwall.records.ids import (
    Incarnation,
    IncidentId,
    InstanceName,
    SearcherAddress,
    ServiceName,
    SnapshotId,
    VmAddress,
)
from basilwall.records.order import OrderOutcome, OrderReason, OrderState
from basilwall.records.strike import Evidence, Strike
from bench.report import Row

MICROSECONDS = 1_000_000
PAGE_BYTES = 4096
SMALL = (10, 100, 1000, 4000)
CONNECTIONS = (50, 100, 200, 400, 800)
SEARCHERS = (85, 500, 2000, 8800)
VMS = (9, 100, 500, 1900)
REPLICAS = 6


@dataclass(frozen=True)
class Point:
    """One measured size; `cost` is in the unit that its row names."""

    size: int
    cost: float


def run(_: Path) -> Iterable[Row]:
    """Measure all slopes."""
    yield from _state()
    yield line('connection task, resident', 'bytes', _connections())
    yield from _published()


def _state() -> Iterable[Row]:
    for name, fill in (
        ('register key', _fill_register),
        ('ticket record', _fill_tickets),
        ('quarantine entry', _fill_quarantine),
        ('departure', _fill_departures),
        ('member', _fill_members),
    ):
        yield line(f'{name}, state', 'bytes', _bytes_points(fill))
        yield _each(f'{name}, written', _time_points(fill))


def _fill_register(size: int) -> object:
    register = RevisionRegister()
    for number in range(size):
        register.offer(PublishedValue(f'key-{number}', number, b''))
    return register


def _fill_tickets(size: int) -> object:
    clock = ManualClock()
    owner, incarnation = VmAddress('127.0.0.1:1'), Incarnation('a' * 32)
    mint = TicketIssuer(owner, incarnation, b'k' * 32, clock, 60)
    table = TicketTable(mint, clock, size + 1)
    service = ServiceName('depot-desk')
    ran = OrderOutcome(OrderState.RAN, OrderReason.ANSWERED, b'[]')
    for number in range(size):
        ticket = mint.verify(mint.issue(service))
        mark = fingerprint(service, 'order', b'{"order": %d}' % number)
        table.finish(table.claim(ticket, mark).record, ran)
    return table


def _fill_quarantine(size: int) -> object:
    quarantine = Quarantine(ManualClock(), size + 1)
    for number in range(size):
        mark = fingerprint(ServiceName('s'), 'query', b'%d' % number)
        searcher = SearcherAddress(f'10.0.0.1:{number}')
        strike = Strike(IncidentId(f'a/{number}'), searcher, Evidence.DIED)
        quarantine.strike(mark, [strike])
    return quarantine


def _fill_departures(size: int) -> object:
    departures = LeavingSearchers(ManualClock())
    for number in range(size):
        departures.report_leaving(SearcherAddress(f'10.0.0.1:{number}'))
    return departures


def _fill_members(size: int) -> object:
    membership = Membership(Member(VmAddress('10.0.0.1:1')), ManualClock())
    for number in range(size):
        address = VmAddress(f'10.0.0.2:{number}')
        membership.record_contact(
            Member(address, Incarnation(f'{number:032x}'))
        )
    return membership


def _bytes_points(fill: Callable[[int], object]) -> list[Point]:
    points = []
    for size in SMALL:
        gc.collect()
        tracemalloc.start()
        held = fill(size)
        gc.collect()
        points.append(Point(size, tracemalloc.get_traced_memory()[0]))
        tracemalloc.stop()
        del held
    return points


def _time_points(fill: Callable[[int], object]) -> list[Point]:
    points = []
    for size in SMALL:
        started = time.process_time()
        fill(size)
        spent = (time.process_time() - started) * MICROSECONDS
        points.append(Point(size, spent / size))
    return points


def _connections() -> list[Point]:
    points = []
    clock = SystemClock()
    with socket.create_server(('127.0.0.1', 0), backlog=4096) as server:
        host, port = server.getsockname()
        address = SearcherAddress(f'{host}:{port}')
        with task_group('slope') as tasks:
            before = _resident()
            pools = []
            opened = 0
            for size in CONNECTIONS:
                pool = SearcherPool(
                    address,
                    size - opened,
                    clock,
                    LeavingSearchers(clock),
                )
                pool.start(tasks)
                pools.append(pool)
                opened = size
                time.sleep(1)
                points.append(Point(size, _resident() - before))
            for pool in pools:
                pool.close()
    return points


def _published() -> Iterable[Row]:
    for name, sizes, make, record in (
        ('catalogue, a searcher', SEARCHERS, _catalogue, Catalogue),
        ('fleet list, a VM', VMS, _fleet, FleetList),
    ):
        lengths, times = [], []
        for size in sizes:
            body = msgspec.json.encode(make(size))
            decoder = msgspec.json.Decoder(record)
            started = time.process_time()
            for _ in range(10):
                decoder.decode(body)
            spent = (time.process_time() - started) / 10 * MICROSECONDS
            lengths.append(Point(size, len(body)))
            times.append(Point(size, spent))
        yield line(f'{name}, published', 'bytes', lengths)
        yield line(f'{name}, decoded', 'us', times)


def _catalogue(size: int) -> Catalogue:
    source = random.Random(1)
    addresses = [
        SearcherAddress(f'10.{number >> 8}.{number & 255}.7:9000')
        for number in range(size)
    ]
    source.shuffle(addresses)
    parts = tuple(
        Part(
            InstanceName(f'part-{first}'),
            tuple(addresses[first : first + REPLICAS]),
            1000,
        )
        for first in range(0, size, REPLICAS)
    )
    snapshot = Snapshot(SnapshotId('s1'), parts)
    return Catalogue(ServiceName('despacho'), (snapshot,))


def _fleet(size: int) -> FleetList:
    return FleetList(
        tuple(
            FleetVm(VmAddress(f'10.{number >> 8}.{number & 255}.7:8081'))
            for number in range(size)
        ),
    )


def _resident() -> int:
    return int(Path('/proc/self/statm').read_text().split()[1]) * PAGE_BYTES


def line(name: str, unit: str, points: list[Point]) -> Row:
    """Return a row with the straight line through measured points."""
    slope, intercept = statistics.linear_regression(
        [point.size for point in points],
        [point.cost for point in points],
    )
    return Row(
        name,
        _listed(points),
        f'{slope:.3g} {unit} each, {intercept:.3g} at none',
    )


def _each(name: str, points: list[Point]) -> Row:
    return Row(name, _listed(points), 'us each, by size')


def _listed(points: list[Point]) -> str:
    return ', '.join(f'{point.size}: {point.cost:.4g}' for point in points)
