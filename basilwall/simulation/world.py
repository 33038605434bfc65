"""The parts of a simulated deployment, wired together."""

import random
from collections.abc import Mapping
from dataclasses import dataclass
from itertools import count

from basilwall.forwarding.connection_pools import ConnectionPools
from basilwall.forwarding.context import ForwardingContext
from basilwall.forwarding.crash_detection import CrashDetector
from basilwall.forwarding.forwarder import Forwarder
from basilwall.forwarding.reporting import RequestMetrics, RequestReporter
from basilwall.forwarding.retry_policy import RetryPolicy
from basilwall.records.catalogue import PublishedValue
from basilwall.records.forwarding import AttemptResult, Call
from basilwall.records.ids import (
    RouteName,
    SearcherAddress,
    SearcherId,
    ServiceName,
    Zone,
)
from basilwall.records.routes import (
    RetrySafety,
    Route,
    RouteTable,
    ScatterGather,
)
from basilwall.records.searcher import Searcher
from basilwall.routing.bounds import Bounds
from basilwall.routing.location import Distance, RoundTripTimes, VmLocation
from basilwall.routing.routing_state import RoutingState, ValueReader
from basilwall.routing.selection import SearcherSelector
from basilwall.simulation.searchers import ModelSearcher, Pauses
from basilwall.simulation.shapes import RequestKind, Scenario, Shape
from basilwall.simulation.transport import ModelConnection, ModelTransport
from basilwall.simulation.virtual_time import VirtualTime

HOST = 'simulated'
TABLE_KEY = 'table'
TOP_RECORDS = 5
LONGEST_STOP = 6
LONGEST_DRAIN = 4
LONGEST_DOCUMENT = 4
EXTRA_RATIO = 0.2
EXTRA_WINDOW = 10


class _Published(ValueReader):
    """Hands out what stands under each key."""

    def __init__(
        self, table: RouteTable, searchers: Mapping[str, Searcher]
    ) -> None:
        self._table = table
        self._searcher_by_key = searchers

    def is_route_table_key(self, key: str) -> bool:
        return key == TABLE_KEY

    def is_searcher_key(self, key: str) -> bool:
        return key in self._searcher_by_key

    def read_route_table(self, body: bytes) -> RouteTable:
        return self._table

    def read_searcher(self, key: str, body: bytes) -> Searcher:
        return self._searcher_by_key[key]


class _NoCrashes(CrashDetector):
    """The model's requests crash no searcher."""

    def is_quarantined(self, call: Call) -> bool:
        return False

    def quarantine_seconds_left(self, call: Call) -> float:
        return 0

    def note_outcome(
        self, call: Call, searcher: Searcher, outcome: AttemptResult
    ) -> None:
        """Pass over how an attempt ended."""


@dataclass(frozen=True, slots=True)
class ModelVm:
    """One VM: the product's own decisions over the model's searchers."""

    zone: Zone
    forwarder: Forwarder
    transport: ModelTransport


@dataclass(frozen=True, slots=True)
class World:
    """All VMs and searchers of a simulated deployment."""

    vms: tuple[ModelVm, ...]
    searcher_by_id: Mapping[SearcherId, ModelSearcher]


def make_world(
    scenario: Scenario,
    time: VirtualTime,
    source: random.Random,
    metrics: RequestMetrics,
) -> World:
    """Make a deployment in which nothing has been asked yet.

    Args:
        scenario: Its shape and its troubles.
        time: The clock of everything.
        source: Draws speeds, pauses and who is struck by trouble.
        metrics: Counts the requests of all VMs.

    Returns:
        The VMs and searchers.
    """
    shape = scenario.shape
    searchers = _searchers(scenario, time, source)
    deployment = _deployment(shape, searchers, time)
    vms = tuple(
        _vm(scenario, one.zone, deployment, searchers, time, source, metrics)
        for one in shape.zones
        for _ in range(one.vms)
    )
    return World(vms, searchers)


def _searchers(
    scenario: Scenario, time: VirtualTime, source: random.Random
) -> dict[SearcherId, ModelSearcher]:
    """Return the searchers of all shards, each of a shard in its own zone."""
    shape = scenario.shape
    made = {}
    numbers = count()
    for shard in _shards(shape):
        beside = []
        for zone in source.sample(shape.zones, shape.copies):
            name = SearcherId(f'searcher-{next(numbers)}')
            address = SearcherAddress(name)
            listed = Searcher(
                name, shard, address, zone.zone, shape.slots, False, 0, 1
            )
            phase = source.uniform(0, shape.pause_every)
            pauses = Pauses(shape.pause, shape.pause_every, phase)
            one = ModelSearcher(listed, time, source, pauses, shape.queue)
            made[name] = one
            beside.append(one)
        _strike(scenario, beside, source)
    return made


def _strike(
    scenario: Scenario, beside: list[ModelSearcher], source: random.Random
) -> None:
    """Give a share of a shard's searchers each trouble, rounded by chance."""
    for trouble in scenario.troubles:
        struck = int(len(beside) * trouble.share + source.random())
        for one in source.sample(beside, min(struck, len(beside))):
            one.troubles = (*one.troubles, trouble)


def _deployment(
    shape: Shape,
    searchers: Mapping[SearcherId, ModelSearcher],
    time: VirtualTime,
) -> RoutingState:
    routes = tuple(_route(shape, kind) for kind in shape.kinds)
    caps = dict.fromkeys(_shards(shape), shape.connections)
    table = RouteTable(1, {HOST: routes}, caps)
    listed = {str(name): one.listed for name, one in searchers.items()}
    deployment = RoutingState(_Published(table, listed), time)
    for revision, key in enumerate((TABLE_KEY, *listed), start=1):
        deployment.accept(PublishedValue(key, revision, b'listed'))
    return deployment


def _shards(shape: Shape) -> tuple[ServiceName, ...]:
    return tuple(
        ServiceName(f'shard-{number}') for number in range(shape.shards)
    )


def _route(shape: Shape, kind: RequestKind) -> Route:
    return Route(
        name=RouteName(kind.name),
        host=HOST,
        prefix=prefix_of(kind),
        retry_safety=RetrySafety.IDEMPOTENT,
        max_attempts=shape.attempts,
        timeout=kind.deadline,
        target_latency=kind.aim,
        priority=0,
        scatter_gather=ScatterGather(
            _shards(shape), TOP_RECORDS, kind.least_share
        ),
    )


def prefix_of(kind: RequestKind) -> bytes:
    """Return the path of a kind of request."""
    return f'/{kind.name}/'.encode()


def _vm(
    scenario: Scenario,
    zone: Zone,
    deployment: RoutingState,
    searchers: Mapping[SearcherId, ModelSearcher],
    time: VirtualTime,
    source: random.Random,
    metrics: RequestMetrics,
) -> ModelVm:
    shape = scenario.shape
    place = _place(zone, shape)
    trips = RoundTripTimes(place)
    trip_by_distance = {
        Distance.SAME_ZONE: shape.near_trip,
        Distance.SAME_REGION: shape.zone_trip,
        Distance.OTHER_REGION: shape.trip,
    }
    for other in place.region_by_zone:
        trips.record_connect_time(
            other, trip_by_distance[place.distance_to(other)]
        )
    pools = ConnectionPools(
        deployment,
        trips,
        time,
        lambda: shape.vms,
        lambda searcher: ModelConnection(searcher, time),
    )
    placing = SearcherSelector(deployment, trips, pools, time, source)
    transport = ModelTransport(searchers, placing, pools, time, shape.connect)
    bounds = Bounds(
        EXTRA_RATIO,
        shape.extra_slack,
        EXTRA_WINDOW,
        LONGEST_STOP,
        LONGEST_DRAIN,
        LONGEST_DOCUMENT,
    )
    policy = RetryPolicy(lambda: bounds, lambda: shape.vms, time)
    senders = ForwardingContext(
        deployment, placing, transport, policy, _NoCrashes(), time
    )
    reporting = RequestReporter(metrics, time.monotonic, float)
    return ModelVm(zone, Forwarder(senders, reporting, source), transport)


def _place(zone: Zone, shape: Shape) -> VmLocation:
    return VmLocation(zone, {one.zone: one.region for one in shape.zones})
