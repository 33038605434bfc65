"""The users' deployments as the model plays them, from their own sheets.

Times are in seconds, rates in requests a second over all availability zones.
"""

from dataclasses import dataclass, field
from enum import Enum
from types import MappingProxyType

from basilwall.records.ids import Region, Zone


class FaultKind(Enum):
    """What befalls searchers."""

    SLOW = 'slow'
    SHED = 'shed'
    FAIL = 'fail'
    DOWN = 'down'
    SILENT = 'silent'


@dataclass(frozen=True, slots=True)
class Fault:
    """Trouble of a share of the searchers of each shard.

    `strength` is a factor on the work time of slow ones, else the part of the
    requests that is struck, from 0 to 1.
    """

    kind: FaultKind
    starts_at: float
    ends_at: float
    share: float
    strength: float = 1


@dataclass(frozen=True, slots=True)
class RequestKind:
    """One kind of request to all shards of the deployment."""

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

    `trip` is the round trip between regions, `zone_trip` that between the
    availability zones of one region. Each shard has one searcher in each of
    `copies` availability zones. A searcher stands still for `pause` each
    `pause_every`.
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
        """How many VMs there are."""
        return sum(one.vm_count for one in self.zones)


@dataclass(frozen=True, slots=True)
class Scenario:
    """What is played: a deployment, its load and its troubles."""

    model: DeploymentModel
    seconds: float = 10
    load_factor: float = 1
    seed: int = 1
    faults: tuple[Fault, ...] = field(default=())


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
        shape.name: shape
        for shape in (
            QASR_AL_JAMR,
            TRANSANDINA,
            QASR_AL_JAMR_GROWN,
            TRANSANDINA_GROWN,
        )
    }
)
