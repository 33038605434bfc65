"""The settings of a VM that serves callers on a platform.

They come from the platform's own file, which its adapter reads; nothing here
depends on the form of that file.
"""

from dataclasses import dataclass

from basilwall.records.ids import VmAddress
from basilwall.routing.bounds import Bounds
from basilwall.routing.location import VmLocation


@dataclass(frozen=True, slots=True)
class EntrySettings:
    """What one VM is told; addresses are `host:port`, times in seconds."""

    name: str
    place: VmLocation
    caller_address: str
    readiness_address: str
    peer_address: VmAddress
    seeds: tuple[VmAddress, ...]
    store_address: str
    metrics_address: str
    memory_mb: int
    descriptors: int
    bounds: Bounds
