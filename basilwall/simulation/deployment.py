"""Builds the VMs and searchers of a simulated deployment."""

import random
from collections.abc import Mapping
from dataclasses import dataclass
from itertools import count

from basilwall.forwarding.connection_pools import ConnectionPools
from basilwall.forwarding.context import ForwardingContext
from basilwall.forwarding.forwarder import Forwarder
from basilwall.forwarding.reporting import RequestMetrics, RequestReporter
from basilwall.forwarding.retry_policy import RetryPolicy
from basilwall.records.catalogue import PublishedValue
from basilwall.records.ids import (
    RouteName,
    SearcherAddress,
    SearcherId,
    ServiceName,
    Zone,
)
from basilwall.records.revision import Revision
from basilwall.records.routes import (
    RetrySafety,
    Route,
    RouteTable,
    ScatterGather,
)
from basilwall.records.searcher import Searcher
from basilwall.routing.bounds import Bounds
from basilwall.routing.location import Distance, RoundTripTimes, VmLocation
from basilwall.routing.rate_limiter import RateLimiter
from basilwall.routing.routing_state import RoutingState, ValueReader
from basilwall.routing.selection import SearcherSelector
from basilwall.simulation.no_crashes import NoCrashDetector
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


class StaticValueReader(ValueReader):
    """Returns the fixed route table or searcher of each key."""

    def __init__(
        self, table: RouteTable, searchers: Mapping[str, Searcher]
    ) -> None:
        self._table = table
        self._searcher_by_key = searchers

    def is_route_table_key(self, key: str) -> bool:
        """Return whether `key` is that of the route table."""
        return key == TABLE_KEY

    def is_searcher_key(self, key: str) -> bool:
        """Return whether `key` is that of a searcher."""
        return key in self._searcher_by_key

    def read_route_table(self, body: bytes) -> RouteTable:
        """Return the table, whatever the body."""
        return self._table

    def read_searcher(self, key: str, body: bytes) -> Searcher:
        """Return the searcher of a key, whatever the body."""
        return self._searcher_by_key[key]


@dataclass(frozen=True, slots=True)
class ModelVm:
    """One VM: the production forwarder over model searchers."""

    zone: Zone
    forwarder: Forwarder
    transport: ModelTransport
    selector: SearcherSelector


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
    """Build the deployment of a scenario, before its first request.

    Args:
        scenario: The scenario; it names the deployment and its faults.
        time: Clock of all VMs and searchers.
        rng: Draws speeds, pauses and the searchers that have faults.
        metrics: Counts the requests of all VMs.

    Returns:
        The VMs and searchers.
    """
    model = scenario.model
    searchers = _make_searchers(scenario, time, rng)
    routing_state = _make_routing_state(model, searchers, time)
    vms = tuple(
        _make_vm(
            scenario, zone.zone, routing_state, searchers, time, rng, metrics
        )
        for zone in model.zones
        for _ in range(zone.vm_count)
    )
    return SimulatedDeployment(vms, searchers)


def _make_searchers(
    scenario: Scenario, time: VirtualTime, rng: random.Random
) -> dict[SearcherId, ModelSearcher]:
    """Make the searchers; the replicas of a shard are in different zones."""
    model = scenario.model
    searcher_by_id = {}
    numbers = count()
    for shard in _shard_names(model):
        replicas = []
        for zone in rng.sample(model.zones, model.replicas):
            name = SearcherId(f'searcher-{next(numbers)}')
            address = SearcherAddress(name)
            searcher = Searcher(
                name, shard, address, zone.zone, model.slots, False, 0, 1
            )
            phase = rng.uniform(0, model.pause_interval)
            pauses = Pauses(model.pause_seconds, model.pause_interval, phase)
            replica = ModelSearcher(
                searcher, time, rng, pauses, model.max_queued
            )
            searcher_by_id[name] = replica
            replicas.append(replica)
        _assign_faults(scenario, replicas, rng)
    return searcher_by_id


def _assign_faults(
    scenario: Scenario, replicas: list[ModelSearcher], rng: random.Random
) -> None:
    """Assign each fault to a share of the replicas, rounded randomly."""
    for fault in scenario.faults:
        affected = int(len(replicas) * fault.share + rng.random())
        for replica in rng.sample(replicas, min(affected, len(replicas))):
            replica.faults = (*replica.faults, fault)


def _make_routing_state(
    model: DeploymentModel,
    searchers: Mapping[SearcherId, ModelSearcher],
    time: VirtualTime,
) -> RoutingState:
    routes = tuple(_make_route(model, kind) for kind in model.kinds)
    caps = dict.fromkeys(_shard_names(model), model.max_connections)
    table = RouteTable(1, {HOST: routes}, caps)
    searcher_by_key = {
        str(name): model_searcher.searcher
        for name, model_searcher in searchers.items()
    }
    routing_state = RoutingState(
        StaticValueReader(table, searcher_by_key), time
    )
    for revision, key in enumerate((TABLE_KEY, *searcher_by_key), start=1):
        routing_state.accept(
            PublishedValue(key, Revision(0, revision), b'listed')
        )
    return routing_state


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
    """Return the path prefix of a kind of request."""
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
    model = scenario.model
    location = _make_location(zone, model)
    round_trips = RoundTripTimes(location)
    round_trip_by_distance = {
        Distance.SAME_ZONE: model.same_zone_round_trip,
        Distance.SAME_REGION: model.zone_round_trip,
        Distance.OTHER_REGION: model.region_round_trip,
    }
    for other in location.region_by_zone:
        round_trips.record_connect_time(
            other, round_trip_by_distance[location.distance_to(other)]
        )
    pools = ConnectionPools(
        routing_state,
        round_trips,
        time,
        lambda: model.vm_count,
        lambda searcher: ModelConnection(searcher, time),
    )
    selector = SearcherSelector(
        routing_state,
        round_trips,
        pools,
        RateLimiter(time, rng, lambda: model.vm_count, routing_state.searchers),
        time,
        rng,
    )
    transport = ModelTransport(
        searchers, selector, pools, time, model.connect_seconds
    )
    bounds = Bounds(
        EXTRA_ATTEMPT_RATIO,
        model.extra_slack,
        EXTRA_ATTEMPT_WINDOW_SECONDS,
        MAX_STOP_SECONDS,
        MAX_DRAIN_SECONDS,
        MAX_DOCUMENT_SECONDS,
    )
    policy = RetryPolicy(lambda: bounds, lambda: model.vm_count, time)
    context = ForwardingContext(
        routing_state, selector, transport, policy, NoCrashDetector(), time
    )
    reporter = RequestReporter(metrics, time.monotonic, float)
    return ModelVm(zone, Forwarder(context, reporter, rng), transport, selector)


def _make_location(zone: Zone, model: DeploymentModel) -> VmLocation:
    return VmLocation(
        zone, {model_zone.zone: model_zone.region for model_zone in model.zones}
    )
