"""Memory and processor time by size, the basis of docs/CAPACITY.md.

Each measurement runs at four or more sizes. Most report a linear regression,
whose slope is the cost of one more entry in bytes or microseconds.
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
from basilwall.records.revision import Revision
from basilwall.records.strike import Evidence, Strike
from bench.report import Row

MICROSECONDS_PER_SECOND = 1_000_000
PAGE_BYTES = 4096
ENTRY_COUNTS = (10, 100, 1000, 4000)
CONNECTION_COUNTS = (50, 100, 200, 400, 800)
SEARCHER_COUNTS = (85, 500, 2000, 8800)
VM_COUNTS = (9, 100, 500, 1900)
REPLICAS_PER_PART = 6


@dataclass(frozen=True)
class Point:
    """The cost measured at one size, in the unit named by its row."""

    size: int
    cost: float


def run(_: Path) -> Iterable[Row]:
    """Measure in-memory state, connections and published values."""
    yield from _measure_state()
    yield slope_row(
        'connection task, resident', 'bytes', _measure_connections()
    )
    yield from _measure_published_values()


def _measure_state() -> Iterable[Row]:
    for name, fill in (
        ('register key', _fill_register),
        ('ticket record', _fill_tickets),
        ('quarantine entry', _fill_quarantine),
        ('departure', _fill_leaving_searchers),
        ('member', _fill_members),
    ):
        yield slope_row(f'{name}, state', 'bytes', _measure_bytes(fill))
        yield _points_row(f'{name}, written', _measure_microseconds(fill))


def _fill_register(size: int) -> object:
    register = RevisionRegister()
    for number in range(size):
        register.offer(
            PublishedValue(f'key-{number}', Revision(0, number), b'')
        )
    return register


def _fill_tickets(size: int) -> object:
    clock = ManualClock()
    owner, incarnation = VmAddress('127.0.0.1:1'), Incarnation('a' * 32)
    issuer = TicketIssuer(owner, incarnation, b'k' * 32, clock, 60)
    table = TicketTable(issuer, clock, size + 1)
    service = ServiceName('depot-desk')
    outcome = OrderOutcome(OrderState.RAN, OrderReason.ANSWERED, b'[]')
    for number in range(size):
        ticket = issuer.verify(issuer.issue(service))
        request_fingerprint = fingerprint(
            service, 'order', b'{"order": %d}' % number
        )
        table.finish(table.claim(ticket, request_fingerprint).record, outcome)
    return table


def _fill_quarantine(size: int) -> object:
    quarantine = Quarantine(ManualClock(), size + 1)
    for number in range(size):
        request_fingerprint = fingerprint(
            ServiceName('s'), 'query', b'%d' % number
        )
        searcher = SearcherAddress(f'10.0.0.1:{number}')
        strike = Strike(IncidentId(f'a/{number}'), searcher, Evidence.DIED)
        quarantine.strike(request_fingerprint, [strike])
    return quarantine


def _fill_leaving_searchers(size: int) -> object:
    leaving_searchers = LeavingSearchers(ManualClock())
    for number in range(size):
        leaving_searchers.report_leaving(SearcherAddress(f'10.0.0.1:{number}'))
    return leaving_searchers


def _fill_members(size: int) -> object:
    membership = Membership(Member(VmAddress('10.0.0.1:1')), ManualClock())
    for number in range(size):
        address = VmAddress(f'10.0.0.2:{number}')
        membership.record_contact(
            Member(address, Incarnation(f'{number:032x}'))
        )
    return membership


def _measure_bytes(fill: Callable[[int], object]) -> list[Point]:
    points = []
    for size in ENTRY_COUNTS:
        gc.collect()
        tracemalloc.start()
        state = fill(size)
        gc.collect()
        points.append(Point(size, tracemalloc.get_traced_memory()[0]))
        tracemalloc.stop()
        del state
    return points


def _measure_microseconds(fill: Callable[[int], object]) -> list[Point]:
    points = []
    for size in ENTRY_COUNTS:
        started = time.process_time()
        fill(size)
        microseconds = (time.process_time() - started) * MICROSECONDS_PER_SECOND
        points.append(Point(size, microseconds / size))
    return points


def _measure_connections() -> list[Point]:
    points = []
    clock = SystemClock()
    with socket.create_server(('127.0.0.1', 0), backlog=4096) as server:
        host, port = server.getsockname()
        address = SearcherAddress(f'{host}:{port}')
        with task_group('slope') as tasks:
            before = _read_resident_bytes()
            pools = []
            opened = 0
            for size in CONNECTION_COUNTS:
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
                points.append(Point(size, _read_resident_bytes() - before))
            for pool in pools:
                pool.close()
    return points


def _measure_published_values() -> Iterable[Row]:
    for name, sizes, make_value, record in (
        ('catalogue, a searcher', SEARCHER_COUNTS, _make_catalogue, Catalogue),
        ('fleet list, a VM', VM_COUNTS, _make_fleet_list, FleetList),
    ):
        lengths, times = [], []
        for size in sizes:
            body = msgspec.json.encode(make_value(size))
            decoder = msgspec.json.Decoder(record)
            started = time.process_time()
            for _ in range(10):
                decoder.decode(body)
            microseconds = (
                (time.process_time() - started) / 10 * MICROSECONDS_PER_SECOND
            )
            lengths.append(Point(size, len(body)))
            times.append(Point(size, microseconds))
        yield slope_row(f'{name}, published', 'bytes', lengths)
        yield slope_row(f'{name}, decoded', 'us', times)


def _make_catalogue(size: int) -> Catalogue:
    rng = random.Random(1)
    addresses = [
        SearcherAddress(f'10.{number >> 8}.{number & 255}.7:9000')
        for number in range(size)
    ]
    rng.shuffle(addresses)
    parts = tuple(
        Part(
            InstanceName(f'part-{first}'),
            tuple(addresses[first : first + REPLICAS_PER_PART]),
            1000,
        )
        for first in range(0, size, REPLICAS_PER_PART)
    )
    snapshot = Snapshot(SnapshotId('s1'), parts)
    return Catalogue(ServiceName('despacho'), (snapshot,))


def _make_fleet_list(size: int) -> FleetList:
    return FleetList(
        tuple(
            FleetVm(VmAddress(f'10.{number >> 8}.{number & 255}.7:8081'))
            for number in range(size)
        ),
    )


def _read_resident_bytes() -> int:
    return int(Path('/proc/self/statm').read_text().split()[1]) * PAGE_BYTES


def slope_row(name: str, unit: str, points: list[Point]) -> Row:
    """Return a row with the points and their linear regression.

    Args:
        name: Name of the row.
        unit: Unit of the costs.
        points: Measurements at two or more sizes.
    """
    slope, intercept = statistics.linear_regression(
        [point.size for point in points],
        [point.cost for point in points],
    )
    return Row(
        name,
        _format_points(points),
        f'{slope:.3g} {unit} each, {intercept:.3g} at none',
    )


def _points_row(name: str, points: list[Point]) -> Row:
    return Row(name, _format_points(points), 'us each, by size')


def _format_points(points: list[Point]) -> str:
    return ', '.join(f'{point.size}: {point.cost:.4g}' for point in points)
