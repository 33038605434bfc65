"""Chooses the VMs that requests are relayed to."""

import random

from basilwall.parts.clock import Clock
from basilwall.parts.membership import Member, Membership
from basilwall.records.ids import VmAddress
from basilwall.routing.location import Distance, VmLocation

#: A VM that did not serve a relayed request is asked last for this long.
AVOID_SECONDS = 3.0
_RANK_BY_DISTANCE = {
    Distance.SAME_ZONE: 0,
    Distance.SAME_REGION: 1,
    Distance.OTHER_REGION: 2,
}


class RelayPeers:
    """The VMs that are alive and reach searchers, as they said themselves."""

    def __init__(
        self, membership: Membership, location: VmLocation, clock: Clock
    ) -> None:
        self._membership = membership
        self._location = location
        self._clock = clock
        self._avoid_until_by_address: dict[VmAddress, float] = {}

    def candidates(self, rng: random.Random) -> list[Member]:
        """Return the VMs to ask, the nearest first, equal ones in any order."""
        members = [
            member
            for member in self._membership.live_members()
            if member.relay_address
            and member.reaches_searchers
            and not member.leaving
        ]
        rng.shuffle(members)
        return sorted(members, key=self._rank)

    def avoid(self, peer: Member) -> None:
        """Ask a VM last for a short time."""
        until = self._clock.monotonic() + AVOID_SECONDS
        self._avoid_until_by_address[peer.address] = until

    def _rank(self, member: Member) -> tuple[bool, int]:
        avoid_until = self._avoid_until_by_address.get(member.address, 0)
        distance = self._location.distance_to(member.zone)
        is_avoided = self._clock.monotonic() < avoid_until
        return is_avoided, _RANK_BY_DISTANCE[distance]
