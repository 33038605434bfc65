"""What the platform publishes about a service and about the fleet.

These are facts of the platform, read and never written; caps of searchers
stand here and not in the code, because the platform changes them.
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

DEFAULT_SLOTS = 2
DEFAULT_CONNECTIONS = 25


class Part(msgspec.Struct, frozen=True):
    """One part of a snapshot: the records that one instance holds."""

    instance: InstanceName
    searchers: tuple[SearcherAddress, ...]
    records: int = 0


class Snapshot(msgspec.Struct, frozen=True):
    """One version of a service's index with its partition map."""

    snapshot_id: SnapshotId
    parts: tuple[Part, ...]


class Catalogue(msgspec.Struct, frozen=True):
    """The entry of one service, its snapshots newest first.

    `slots` counts the requests that a searcher runs at once and `connections`
    those that it accepts, both over all VMs together.
    """

    service: ServiceName
    snapshots: tuple[Snapshot, ...]
    slots: int = DEFAULT_SLOTS
    connections: int = DEFAULT_CONNECTIONS


class VmState(Enum):
    """Whether a listed VM serves."""

    LIVE = 'live'
    LEAVING = 'leaving'


class FleetVm(msgspec.Struct, frozen=True):
    """One VM of ours on the fleet list; `address` is that of its peer port."""

    address: VmAddress
    state: VmState = VmState.LIVE
    zone: Zone = Zone('')
    region: Region = Region('')


class FleetList(msgspec.Struct, frozen=True):
    """The VMs of ours that the platform knows, and the searchers leaving."""

    vms: tuple[FleetVm, ...] = ()
    leaving_searchers: tuple[SearcherAddress, ...] = ()


class PublishedValue(msgspec.Struct, frozen=True):
    """One value of the configuration service with its revision."""

    key: str
    revision: int
    body: bytes
