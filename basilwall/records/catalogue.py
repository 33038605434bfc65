"""Records that the platform publishes about services and the fleet.

They are only read. The caps of searchers are published rather than constants,
because the platform changes them.
"""

from enum import Enum

import msgspec

from basilwall.records.ids import (
    InstanceName,
    Region,
    SearcherAddress,
    ServiceName,
    SnapshotId,
    VmAddress,
    Zone,
)
from basilwall.records.revision import Revision

DEFAULT_SLOTS = 2
DEFAULT_CONNECTIONS = 25


class Part(msgspec.Struct, frozen=True):
    """One part of a snapshot: the records that one instance (a shard) holds."""

    instance: InstanceName
    searchers: tuple[SearcherAddress, ...]
    records: int = 0


class Snapshot(msgspec.Struct, frozen=True):
    """One version of a service's index with its partition map."""

    snapshot_id: SnapshotId
    parts: tuple[Part, ...]


class Catalogue(msgspec.Struct, frozen=True):
    """The published entry of one service, its snapshots newest first.

    `slots` is how many requests a searcher runs concurrently and `connections`
    how many connections it accepts, both summed over all VMs.
    """

    service: ServiceName
    snapshots: tuple[Snapshot, ...]
    slots: int = DEFAULT_SLOTS
    connections: int = DEFAULT_CONNECTIONS


class VmState(Enum):
    """Whether a listed VM serves or is shutting down."""

    LIVE = 'live'
    LEAVING = 'leaving'


class FleetVm(msgspec.Struct, frozen=True):
    """An entry VM on the fleet list; `address` is that of its peer port."""

    address: VmAddress
    state: VmState = VmState.LIVE
    zone: Zone = Zone('')
    region: Region = Region('')


class FleetList(msgspec.Struct, frozen=True):
    """The entry VMs that the platform lists, and the leaving searchers."""

    vms: tuple[FleetVm, ...] = ()
    leaving_searchers: tuple[SearcherAddress, ...] = ()


class PublishedValue(msgspec.Struct, frozen=True):
    """One value of the configuration service with its revision."""

    key: str
    revision: Revision
    body: bytes
