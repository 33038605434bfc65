"""Which VMs read the platform, once the fleet is too large for all to do so.

The platform counts each call, a waiting watch as one, and a change ends all
watches at once. So in a large fleet a few VMs of each availability zone read,
and the others learn from their peers. Rendezvous hashing over the fleet list
chooses them: each VM finds out by itself, and a VM that goes changes only its
own place. Lists that lag choose a few too many or too few, which does no harm.
"""

from basilwall.parts.membership import Member
from basilwall.parts.rendezvous import rank_addresses
from basilwall.records.catalogue import FleetList, VmState

#: Up to this many live VMs all read.
MAX_VMS_ALL_READ = 64
READERS_PER_ZONE = 4


def is_platform_reader(own: Member, fleet: FleetList) -> bool:
    """Return whether a VM is to read the platform.

    Args:
        own: The VM that asks.
        fleet: The fleet list in force.

    Returns:
        True also for a VM that the list doesn't name.
    """
    live = [vm for vm in fleet.vms if vm.state is VmState.LIVE]
    if len(live) <= MAX_VMS_ALL_READ:
        return True
    places = [vm for vm in live if vm.address == own.address]
    if not places:
        return True
    zone = places[0].zone
    neighbours = rank_addresses(vm.address for vm in live if vm.zone == zone)
    return own.address in neighbours[:READERS_PER_ZONE]
