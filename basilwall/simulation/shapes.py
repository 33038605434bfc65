"""The users' deployments as the model plays them, from their own sheets.

Times are in seconds, rates in requests a second over all availability zones.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from types import MappingProxyType

from basilwall.records.ids import Zone


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
class Shape:
    """A deployment: its VMs, shards and kinds of request.

    `trip` is the round trip between availability zones. Each searcher stands
    still for `pause` each `pause_every`.
    """

    name: str
    vms_by_zone: Mapping[Zone, int]
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
    near_trip: float = 0.0004
    caller_trip: float = 0.006
    resends: int = 1


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
    vms_by_zone=MappingProxyType(
        {Zone('amman'): 3, Zone('irbid'): 3, Zone('aqaba'): 2}
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
    vms_by_zone=MappingProxyType(
        {Zone('sierra'): 4, Zone('costa'): 3, Zone('oriente'): 2}
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
SHAPES_BY_NAME = MappingProxyType(
    {shape.name: shape for shape in (QASR_AL_JAMR, TRANSANDINA)}
)
