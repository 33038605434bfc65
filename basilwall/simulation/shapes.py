"""The users' deployments as the model plays them, from their own sheets.

Times are in seconds, rates in requests a second over all availability zones.
"""

from dataclasses import dataclass, field
from enum import Enum
from types import MappingProxyType

from basilwall.records.ids import Region, Zone


class TroubleKind(Enum):
    """What befalls searchers."""

    SLOW = 'slow'
    SHED = 'shed'
    FAIL = 'fail'
    DOWN = 'down'
    SILENT = 'silent'


@dataclass(frozen=True, slots=True)
class Trouble:
    """Trouble of a share of the searchers of each shard.

    `strength` is a factor on the work time of slow ones, else the part of the
    requests that is struck, from 0 to 1.
    """

    kind: TroubleKind
    begins: float
    ends: float
    share: float
    strength: float = 1


@dataclass(frozen=True, slots=True)
class RequestKind:
    """One kind of request to all shards of the deployment."""

    name: str
    rate: float
    work: float
    aim: float
    deadline: float
    worth: float
    late_worth: float
    least_share: float


@dataclass(frozen=True, slots=True)
class ZoneShape:
    """One availability zone and the VMs in it."""

    zone: Zone
    region: Region
    vms: int


@dataclass(frozen=True, slots=True)
class Shape:
    """A deployment: its VMs, shards and kinds of request.

    `trip` is the round trip between regions, `zone_trip` that between the
    availability zones of one region. Each shard has one searcher in each of
    `copies` availability zones. A searcher stands still for `pause` each
    `pause_every`.
    """

    name: str
    zones: tuple[ZoneShape, ...]
    shards: int
    slots: int
    connections: int
    connect: float
    trip: float
    pause: float
    pause_every: float
    extra_slack: float
    kinds: tuple[RequestKind, ...]
    queue: int = 18
    attempts: int = 2
    copies: int = 3
    near_trip: float = 0.0004
    zone_trip: float = 0.002
    caller_trip: float = 0.006
    resends: int = 1

    @property
    def vms(self) -> int:
        """How many VMs there are."""
        return sum(one.vms for one in self.zones)


@dataclass(frozen=True, slots=True)
class Scenario:
    """What is played: a deployment, its load and its troubles."""

    shape: Shape
    seconds: float = 10
    load: float = 1
    seed: int = 1
    troubles: tuple[Trouble, ...] = field(default=())


QASR_AL_JAMR = Shape(
    name='qasr-al-jamr',
    zones=(
        ZoneShape(Zone('amman-sahab'), Region('amman'), 3),
        ZoneShape(Zone('irbid-hassan'), Region('irbid'), 3),
        ZoneShape(Zone('aqaba-port'), Region('aqaba'), 2),
    ),
    shards=10,
    slots=2,
    connections=26,
    connect=0.006,
    trip=0.04,
    pause=0.2,
    pause_every=4.5,
    extra_slack=56,
    kinds=(
        RequestKind('price-sweep', 67.6, 0.0112, 0.162, 2.5, 2, 0.1, 0.89),
        RequestKind('order-ping', 22.5, 0.00375, 0.124, 2, 1, 0.1, 0.75),
    ),
)
TRANSANDINA = Shape(
    name='transandina',
    zones=(
        ZoneShape(Zone('sierra-a'), Region('sierra'), 4),
        ZoneShape(Zone('costa-a'), Region('costa'), 3),
        ZoneShape(Zone('oriente-a'), Region('oriente'), 2),
    ),
    shards=10,
    slots=3,
    connections=31,
    connect=0.006,
    trip=0.024,
    pause=0.25,
    pause_every=6,
    extra_slack=58,
    kinds=(
        RequestKind('truck-match', 67.5, 0.03, 0.233, 2, 2, 0.1, 0.89),
        RequestKind('urgent-pickup', 22.5, 0.0101, 0.131, 1.2, 1, 0.1, 0.75),
    ),
)
QASR_AL_JAMR_GROWN = Shape(
    name='qasr-al-jamr-grown',
    zones=(
        ZoneShape(Zone('amman-sahab'), Region('amman'), 10),
        ZoneShape(Zone('amman-marka'), Region('amman'), 10),
        ZoneShape(Zone('irbid-hassan'), Region('irbid'), 10),
        ZoneShape(Zone('irbid-ramtha'), Region('irbid'), 10),
        ZoneShape(Zone('aqaba-port'), Region('aqaba'), 10),
        ZoneShape(Zone('aqaba-ayla'), Region('aqaba'), 9),
    ),
    shards=36,
    slots=4,
    connections=62,
    connect=0.006,
    trip=0.04,
    pause=0.2,
    pause_every=4.5,
    extra_slack=158,
    kinds=(
        RequestKind('price-sweep', 48.3, 0.0112, 0.167, 2.566, 2, 0.1, 0.95),
        RequestKind('order-ping', 16.1, 0.00375, 0.127, 2.044, 1, 0.1, 0.85),
    ),
)
TRANSANDINA_GROWN = Shape(
    name='transandina-grown',
    zones=(
        ZoneShape(Zone('sierra-a'), Region('sierra'), 12),
        ZoneShape(Zone('sierra-b'), Region('sierra'), 12),
        ZoneShape(Zone('costa-a'), Region('costa'), 12),
        ZoneShape(Zone('costa-b'), Region('costa'), 12),
        ZoneShape(Zone('oriente-a'), Region('oriente'), 11),
        ZoneShape(Zone('oriente-b'), Region('oriente'), 11),
    ),
    shards=36,
    slots=4,
    connections=67,
    connect=0.006,
    trip=0.024,
    pause=0.25,
    pause_every=6,
    extra_slack=180,
    kinds=(
        RequestKind('truck-match', 48.3, 0.03, 0.236, 2.025, 2, 0.1, 0.95),
        RequestKind('urgent-pickup', 16.1, 0.0101, 0.134, 1.225, 1, 0.1, 0.85),
    ),
)
SHAPES_BY_NAME = MappingProxyType(
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
