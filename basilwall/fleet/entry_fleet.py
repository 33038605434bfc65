"""The other VMs as this one knows them."""

from dataclasses import dataclass, field

from basilwall.fleet.gossip import HttpGossip
from basilwall.parts.membership import Membership
from basilwall.parts.quarantine import Quarantine
from basilwall.parts.tasks import TaskGroup

#: VMs that share caps and budgets at least, until others were heard of.
MIN_FLEET_SIZE = 8


@dataclass(slots=True)
class Fleet:
    """The other VMs, and what they know together.

    Every attempt asks for the size, so it is counted now and then only.
    """

    membership: Membership
    quarantine: Quarantine
    gossip: HttpGossip
    tasks: TaskGroup
    _size: int = field(default=MIN_FLEET_SIZE, init=False)

    def size(self) -> int:
        """Return how many VMs share caps and budgets, rather too many."""
        return self._size

    def update_size(self) -> None:
        """Count the VMs that are known now."""
        known = len(self.membership.peers()) + 1
        self._size = max(known, MIN_FLEET_SIZE)
