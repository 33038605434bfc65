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
from basilwall.simulation.scenarios import (
    DeploymentModel,
    RequestKind,
    Scenario,
)
from basilwall.simulation.searchers import ModelSearcher, Pauses
from basilwall.simulation.transport import ModelConnection, ModelTransport
from basilwall.simulation.virtual_time import VirtualTime

HOST = 'simulated'
TABLE_KEY = 'table'
MAX_RECORDS = 5
MAX_STOP_SECONDS = 6
MAX_DRAIN_SECONDS = 4
MAX_DOCUMENT_SECONDS = 4
EXTRA_ATTEMPT_RATIO = 0.2
EXTRA_ATTEMPT_WINDOW_SECONDS = 10


class _StaticValueReader(ValueReader):
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


class _NoCrashDetector(CrashDetector):
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
class SimulatedDeployment:
    """All VMs and searchers of a simulated deployment."""

    vms: tuple[ModelVm, ...]
    searcher_by_id: Mapping[SearcherId, ModelSearcher]


def make_deployment(
    scenario: Scenario,
    time: VirtualTime,
    rng: random.Random,
    metrics: RequestMetrics,
) -> SimulatedDeployment:
    """Make a deployment in which nothing has been asked yet.

    Args:
        scenario: Its shape and its troubles.
        time: The clock of everything.
        rng: Draws speeds, pauses and who is struck by trouble.
        metrics: Counts the requests of all VMs.

    Returns:
        The VMs and searchers.
    """
    shape = scenario.model
    searchers = _make_searchers(scenario, time, rng)
    deployment = _make_routing_state(shape, searchers, time)
    vms = tuple(
        _make_vm(scenario, one.zone, deployment, searchers, time, rng, metrics)
        for one in shape.zones
        for _ in range(one.vm_count)
    )
    return SimulatedDeployment(vms, searchers)


def _make_searchers(
    scenario: Scenario, time: VirtualTime, rng: random.Random
) -> dict[SearcherId, ModelSearcher]:
    """Return the searchers of all shards, each of a shard in its own zone."""
    shape = scenario.model
    made = {}
    numbers = count()
    for shard in _shard_names(shape):
        beside = []
        for zone in rng.sample(shape.zones, shape.replicas):
            name = SearcherId(f'searcher-{next(numbers)}')
            address = SearcherAddress(name)
            listed = Searcher(
                name, shard, address, zone.zone, shape.slots, False, 0, 1
            )
            phase = rng.uniform(0, shape.pause_interval)
            pauses = Pauses(shape.pause_seconds, shape.pause_interval, phase)
            one = ModelSearcher(listed, time, rng, pauses, shape.max_queued)
            made[name] = one
            beside.append(one)
        _assign_faults(scenario, beside, rng)
    return made


def _assign_faults(
    scenario: Scenario, replicas: list[ModelSearcher], rng: random.Random
) -> None:
    """Give a share of a shard's searchers each trouble, rounded by chance."""
    for trouble in scenario.faults:
        struck = int(len(replicas) * trouble.share + rng.random())
        for one in rng.sample(replicas, min(struck, len(replicas))):
            one.faults = (*one.faults, trouble)


def _make_routing_state(
    model: DeploymentModel,
    searchers: Mapping[SearcherId, ModelSearcher],
    time: VirtualTime,
) -> RoutingState:
    routes = tuple(_make_route(model, kind) for kind in model.kinds)
    caps = dict.fromkeys(_shard_names(model), model.max_connections)
    table = RouteTable(1, {HOST: routes}, caps)
    listed = {str(name): one.searcher for name, one in searchers.items()}
    deployment = RoutingState(_StaticValueReader(table, listed), time)
    for revision, key in enumerate((TABLE_KEY, *listed), start=1):
        deployment.accept(PublishedValue(key, revision, b'listed'))
    return deployment


def _shard_names(model: DeploymentModel) -> tuple[ServiceName, ...]:
    return tuple(
        ServiceName(f'shard-{number}') for number in range(model.shard_count)
    )


def _make_route(model: DeploymentModel, kind: RequestKind) -> Route:
    return Route(
        name=RouteName(kind.name),
        host=HOST,
        prefix=prefix_of(kind),
        retry_safety=RetrySafety.IDEMPOTENT,
        max_attempts=model.max_attempts,
        timeout=kind.deadline,
        target_latency=kind.target_latency,
        priority=0,
        scatter_gather=ScatterGather(
            _shard_names(model), MAX_RECORDS, kind.min_share
        ),
    )


def prefix_of(kind: RequestKind) -> bytes:
    """Return the path of a kind of request."""
    return f'/{kind.name}/'.encode()


def _make_vm(
    scenario: Scenario,
    zone: Zone,
    routing_state: RoutingState,
    searchers: Mapping[SearcherId, ModelSearcher],
    time: VirtualTime,
    rng: random.Random,
    metrics: RequestMetrics,
) -> ModelVm:
    shape = scenario.model
    place = _make_location(zone, shape)
    trips = RoundTripTimes(place)
    trip_by_distance = {
        Distance.SAME_ZONE: shape.same_zone_round_trip,
        Distance.SAME_REGION: shape.zone_round_trip,
        Distance.OTHER_REGION: shape.region_round_trip,
    }
    for other in place.region_by_zone:
        trips.record_connect_time(
            other, trip_by_distance[place.distance_to(other)]
        )
    pools = ConnectionPools(
        routing_state,
        trips,
        time,
        lambda: shape.vm_count,
        lambda searcher: ModelConnection(searcher, time),
    )
    placing = SearcherSelector(routing_state, trips, pools, time, rng)
    transport = ModelTransport(
        searchers, placing, pools, time, shape.connect_seconds
    )
    bounds = Bounds(
        EXTRA_ATTEMPT_RATIO,
        shape.extra_slack,
        EXTRA_ATTEMPT_WINDOW_SECONDS,
        MAX_STOP_SECONDS,
        MAX_DRAIN_SECONDS,
        MAX_DOCUMENT_SECONDS,
    )
    policy = RetryPolicy(lambda: bounds, lambda: shape.vm_count, time)
    senders = ForwardingContext(
        routing_state, placing, transport, policy, _NoCrashDetector(), time
    )
    reporting = RequestReporter(metrics, time.monotonic, float)
    return ModelVm(zone, Forwarder(senders, reporting, rng), transport)


def _make_location(zone: Zone, model: DeploymentModel) -> VmLocation:
    return VmLocation(zone, {one.zone: one.region for one in model.zones})
