"""The status report of one VM, as operators read it."""

import msgspec

from basilwall.operators.metrics import LatencyReport
from basilwall.records.ids import SearcherAddress


class KeyStatus(msgspec.Struct, frozen=True):
    """One key's revision in force, and the newest refused one, if any.

    `refusal` is the reason for the refusal. Both are numbers of the
    configuration service, which has no epochs.
    """

    revision: int
    refused_revision: int = 0
    refusal: str = ''


class VmStatus(msgspec.Struct, frozen=True):
    """One VM and the peers from which it has heard recently."""

    address: str
    incarnation: str
    zone: str
    stopping: bool
    in_flight: int
    tickets: int
    peers: tuple[str, ...]


class PlatformStatus(msgspec.Struct, frozen=True):
    """When the platform was last read; `age_s` is in seconds.

    If `revision`, that of the platform, is below `highest`, the highest one
    in force, the platform is stale or was reset to an older state.
    """

    age_s: float | None
    failures: int
    calls: int
    revision: int = 0
    highest: int = 0


class StatusReport(msgspec.Struct, frozen=True):
    """Everything that `basilwall status` shows."""

    vm: VmStatus
    platform: PlatformStatus
    values: dict[str, KeyStatus]
    leaving_searchers: dict[SearcherAddress, float]
    quarantine: dict[str, tuple[str, ...]]
    counters: dict[str, int]
    latencies: dict[str, LatencyReport]
