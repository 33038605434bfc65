"""Models of the users' deployments, and the scenarios to simulate.

The figures are those that the users state. Times are in seconds, rates in
requests per second over all availability zones.
"""

from dataclasses import dataclass, field
from enum import Enum
from types import MappingProxyType

from basilwall.records.ids import Region, Zone


class FaultKind(Enum):
    """Kind of a fault of searchers.

    A searcher works more slowly (slow), refuses requests (shed), fails them
    (fail), closes connections (down), doesn't reply (silent) or names a limit
    on the rate of its requests (limit).
    """

    SLOW = 'slow'
    SHED = 'shed'
    FAIL = 'fail'
    DOWN = 'down'
    SILENT = 'silent'
    LIMIT = 'limit'


@dataclass(frozen=True, slots=True)
class Fault:
    """Fault of a share of the searchers of each shard.

    `strength` is the factor on service times if `kind` is slow, the requests
    per second if it is limit, else the probability that the fault applies to a
    request, from 0 to 1.
    """

    kind: FaultKind
    starts_at: float
    ends_at: float
    share: float
    strength: float = 1


@dataclass(frozen=True, slots=True)
class RequestKind:
    """One kind of request, which goes to all shards of the deployment.

    `service_time` is the mean time at one searcher. An answer within
    `target_latency` earns `worth`, a later one `late_worth`. An answer must
    have at least `min_share` of the shards, from 0 to 1.
    """

    name: str
    rate: float
    service_time: float
    target_latency: float
    deadline: float
    worth: float
    late_worth: float
    min_share: float


@dataclass(frozen=True, slots=True)
class ZoneModel:
    """One availability zone and the VMs in it."""

    zone: Zone
    region: Region
    vm_count: int


@dataclass(frozen=True, slots=True)
class DeploymentModel:
    """A deployment: its VMs, shards and kinds of request.

    `region_round_trip` is the round trip between regions, `zone_round_trip`
    that between availability zones of a region, `same_zone_round_trip` that
    within an availability zone and `caller_round_trip` that between callers
    and VMs. `connect_seconds` is the time to connect beside the round trip.

    Each shard has one searcher in each of `replicas` availability zones, with
    `slots` for concurrent requests and a queue of `max_queued`. It pauses for
    `pause_seconds` in each `pause_interval`. `max_connections` is the limit on
    connections of all VMs to a searcher, and `extra_slack` the number of extra
    attempts that the budget allows beside its share of the requests.
    """

    name: str
    zones: tuple[ZoneModel, ...]
    shard_count: int
    slots: int
    max_connections: int
    connect_seconds: float
    region_round_trip: float
    pause_seconds: float
    pause_interval: float
    extra_slack: float
    kinds: tuple[RequestKind, ...]
    max_queued: int = 18
    max_attempts: int = 2
    replicas: int = 3
    same_zone_round_trip: float = 0.0004
    zone_round_trip: float = 0.002
    caller_round_trip: float = 0.006
    max_resends: int = 1

    @property
    def vm_count(self) -> int:
        """Number of VMs in all availability zones."""
        return sum(zone.vm_count for zone in self.zones)


@dataclass(frozen=True, slots=True)
class Scenario:
    """A deployment, its load and its faults.

    `load_factor` is a factor on the rates of the deployment. A VM of the first
    zone gets `first_zone_factor` times as many requests as one of the others.
    """

    model: DeploymentModel
    seconds: float = 10
    load_factor: float = 1
    seed: int = 1
    faults: tuple[Fault, ...] = field(default=())
    first_zone_factor: float = 1


QASR_AL_JAMR = DeploymentModel(
    name='qasr-al-jamr',
    zones=(
        ZoneModel(Zone('amman-sahab'), Region('amman'), 3),
        ZoneModel(Zone('irbid-hassan'), Region('irbid'), 3),
        ZoneModel(Zone('aqaba-port'), Region('aqaba'), 2),
    ),
    shard_count=10,
    slots=2,
    max_connections=26,
    connect_seconds=0.006,
    region_round_trip=0.04,
    pause_seconds=0.2,
    pause_interval=4.5,
    extra_slack=56,
    kinds=(
        RequestKind('price-sweep', 67.6, 0.0112, 0.162, 2.5, 2, 0.1, 0.89),
        RequestKind('order-ping', 22.5, 0.00375, 0.124, 2, 1, 0.1, 0.75),
    ),
)
TRANSANDINA = DeploymentModel(
    name='transandina',
    zones=(
        ZoneModel(Zone('sierra-a'), Region('sierra'), 4),
        ZoneModel(Zone('costa-a'), Region('costa'), 3),
        ZoneModel(Zone('oriente-a'), Region('oriente'), 2),
    ),
    shard_count=10,
    slots=3,
    max_connections=31,
    connect_seconds=0.006,
    region_round_trip=0.024,
    pause_seconds=0.25,
    pause_interval=6,
    extra_slack=58,
    kinds=(
        RequestKind('truck-match', 67.5, 0.03, 0.233, 2, 2, 0.1, 0.89),
        RequestKind('urgent-pickup', 22.5, 0.0101, 0.131, 1.2, 1, 0.1, 0.75),
    ),
)
QASR_AL_JAMR_GROWN = DeploymentModel(
    name='qasr-al-jamr-grown',
    zones=(
        ZoneModel(Zone('amman-sahab'), Region('amman'), 10),
        ZoneModel(Zone('amman-marka'), Region('amman'), 10),
        ZoneModel(Zone('irbid-hassan'), Region('irbid'), 10),
        ZoneModel(Zone('irbid-ramtha'), Region('irbid'), 10),
        ZoneModel(Zone('aqaba-port'), Region('aqaba'), 10),
        ZoneModel(Zone('aqaba-ayla'), Region('aqaba'), 9),
    ),
    shard_count=36,
    slots=4,
    max_connections=62,
    connect_seconds=0.006,
    region_round_trip=0.04,
    pause_seconds=0.2,
    pause_interval=4.5,
    extra_slack=158,
    kinds=(
        RequestKind('price-sweep', 48.3, 0.0112, 0.167, 2.566, 2, 0.1, 0.95),
        RequestKind('order-ping', 16.1, 0.00375, 0.127, 2.044, 1, 0.1, 0.85),
    ),
)
TRANSANDINA_GROWN = DeploymentModel(
    name='transandina-grown',
    zones=(
        ZoneModel(Zone('sierra-a'), Region('sierra'), 12),
        ZoneModel(Zone('sierra-b'), Region('sierra'), 12),
        ZoneModel(Zone('costa-a'), Region('costa'), 12),
        ZoneModel(Zone('costa-b'), Region('costa'), 12),
        ZoneModel(Zone('oriente-a'), Region('oriente'), 11),
        ZoneModel(Zone('oriente-b'), Region('oriente'), 11),
    ),
    shard_count=36,
    slots=4,
    max_connections=67,
    connect_seconds=0.006,
    region_round_trip=0.024,
    pause_seconds=0.25,
    pause_interval=6,
    extra_slack=180,
    kinds=(
        RequestKind('truck-match', 48.3, 0.03, 0.236, 2.025, 2, 0.1, 0.95),
        RequestKind('urgent-pickup', 16.1, 0.0101, 0.134, 1.225, 1, 0.1, 0.85),
    ),
)
MODELS_BY_NAME = MappingProxyType(
    {
        model.name: model
        for model in (
            QASR_AL_JAMR,
            TRANSANDINA,
            QASR_AL_JAMR_GROWN,
            TRANSANDINA_GROWN,
        )
    }
)
