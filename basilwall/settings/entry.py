"""The settings of an entry VM.

The adapter of the platform reads them from the platform's own file. Nothing
here depends on the form of that file.
"""

from dataclasses import dataclass

from basilwall.records.ids import VmAddress
from basilwall.routing.bounds import Bounds
from basilwall.routing.location import VmLocation


@dataclass(frozen=True, slots=True)
class EntrySettings:
    """Settings of one entry VM; addresses are `host:port`, times in seconds.

    `place` holds the availability zone of this VM, `seeds` are peer addresses
    of other VMs, `relay_address` is where this VM takes requests that other VMs
    relay to it, `descriptors` is the limit of open file descriptors,
    `link_mbps` the width of its network link, 0 if unknown, and
    `max_value_bytes` the largest size of a value in the store.
    """

    name: str
    place: VmLocation
    caller_address: str
    readiness_address: str
    peer_address: VmAddress
    relay_address: VmAddress
    seeds: tuple[VmAddress, ...]
    store_address: str
    metrics_address: str
    memory_mb: int
    descriptors: int
    bounds: Bounds
    link_mbps: float = 0
    max_value_bytes: int = 1_048_576
