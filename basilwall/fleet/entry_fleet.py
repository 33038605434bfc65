"""The fleet of entry VMs, as this VM knows it."""

from dataclasses import dataclass, field

from basilwall.fleet.gossip import HttpGossip
from basilwall.parts.membership import Membership
from basilwall.parts.quarantine import Quarantine
from basilwall.parts.tasks import TaskGroup

#: Assumed fleet size while fewer VMs are known.
MIN_FLEET_SIZE = 8


@dataclass(slots=True)
class Fleet:
    """The fleet of entry VMs and the state that they share by gossip.

    Every attempt reads the size, so it is cached and updated by
    `update_size`.
    """

    membership: Membership
    quarantine: Quarantine
    gossip: HttpGossip
    tasks: TaskGroup
    _size: int = field(default=MIN_FLEET_SIZE, init=False)

    def size(self) -> int:
        """Return the number of VMs that share caps and budgets.

        It is an upper estimate, so that the shares don't add up to too much.
        """
        return self._size

    def update_size(self) -> None:
        """Update the size from the membership."""
        known = len(self.membership.peers()) + 1
        self._size = max(known, MIN_FLEET_SIZE)
