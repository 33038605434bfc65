"""The report of one VM's state, as operators read it."""

import msgspec

from basilwall.operators.metrics import LatencyReport
from basilwall.records.ids import SearcherAddress


class KeyStatus(msgspec.Struct, frozen=True):
    """One published value in force, and the newest one refused, if any."""

    revision: int
    refused_revision: int = 0
    refusal: str = ''


class VmStatus(msgspec.Struct, frozen=True):
    """One VM and the peers that it heard from lately."""

    address: str
    incarnation: str
    zone: str
    stopping: bool
    in_flight: int
    tickets: int
    peers: tuple[str, ...]


class PlatformStatus(msgspec.Struct, frozen=True):
    """When the platform was last read; the age is in seconds.

    A `revision` of the platform below the `highest` in force says that it is
    stale or was set back.
    """

    age_s: float | None
    failures: int
    calls: int
    revision: int = 0
    highest: int = 0


class StatusReport(msgspec.Struct, frozen=True):
    """All that `basilwall status` shows."""

    vm: VmStatus
    platform: PlatformStatus
    values: dict[str, KeyStatus]
    leaving_searchers: dict[SearcherAddress, float]
    quarantine: dict[str, tuple[str, ...]]
    counters: dict[str, int]
    latencies: dict[str, LatencyReport]
