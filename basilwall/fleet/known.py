"""The other VMs as this one knows them."""

from dataclasses import dataclass

from basilwall.fleet.links import FleetLinks
from basilwall.parts.membership import Membership
from basilwall.parts.quarantine import Quarantine
from basilwall.parts.tasks import TaskGroup

#: VMs that share caps and budgets at least, until others were heard of.
LEAST_FLEET = 8


@dataclass(frozen=True, slots=True)
class Fleet:
    """The other VMs, and what they know together."""

    membership: Membership
    quarantine: Quarantine
    links: FleetLinks
    tasks: TaskGroup

    def size(self) -> int:
        """Return how many VMs share caps and budgets, rather too many."""
        known = len(self.membership.peers()) + 1
        return max(known, LEAST_FLEET)
