"""Selects the VMs that read the platform in a large fleet.

The platform counts each call, a pending watch included, and a change ends all
watches at once. So in a large fleet only a few VMs of each availability zone
read the platform, and the others get the values from their peers. The readers
are chosen by rendezvous hashing over the fleet list: every VM computes the
choice by itself, and a VM that leaves is replaced without changing the other
readers. If fleet lists lag, there are a few readers too many or too few, which
does no harm.
"""

from basilwall.parts.membership import Member
from basilwall.parts.rendezvous import rank_addresses
from basilwall.records.catalogue import FleetList, VmState

#: With up to this many live VMs, all of them read the platform.
MAX_VMS_ALL_READ = 64
READERS_PER_ZONE = 4


def is_platform_reader(own: Member, fleet: FleetList) -> bool:
    """Return whether this VM is to read the platform.

    Args:
        own: This VM.
        fleet: The fleet list in force.

    Returns:
        True if it is to read; also if the list doesn't contain it.
    """
    live = [vm for vm in fleet.vms if vm.state is VmState.LIVE]
    if len(live) <= MAX_VMS_ALL_READ:
        return True
    own_entries = [vm for vm in live if vm.address == own.address]
    if not own_entries:
        return True
    zone = own_entries[0].zone
    zone_addresses = rank_addresses(
        vm.address for vm in live if vm.zone == zone
    )
    return own.address in zone_addresses[:READERS_PER_ZONE]
