"""Chooses the VMs that requests are relayed to."""

import random
from collections.abc import Collection
from functools import partial

from basilwall.parts.clock import Clock
from basilwall.parts.membership import (
    MEMBER_TTL_SECONDS,
    Member,
    Membership,
)
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
        """Return the VMs to ask, the nearest first, equal ones in any order.

        VMs that are leaving, that have not been heard of lately or that did not
        serve the last request are asked only after all others.
        """
        members = [
            member
            for member in self._membership.live_members(MEMBER_TTL_SECONDS)
            if member.relay_address and member.reaches_searchers
        ]
        live = {member.address for member in self._membership.live_members()}
        rng.shuffle(members)
        return sorted(members, key=partial(self._rank, live))

    def avoid(self, peer: Member) -> None:
        """Ask a VM last for a short time."""
        until = self._clock.monotonic() + AVOID_SECONDS
        self._avoid_until_by_address[peer.address] = until

    def _rank(
        self, live: Collection[VmAddress], member: Member
    ) -> tuple[bool, int]:
        avoid_until = self._avoid_until_by_address.get(member.address, 0)
        distance = self._location.distance_to(member.zone)
        is_avoided = self._clock.monotonic() < avoid_until
        is_doubtful = is_avoided or member.leaving or member.address not in live
        return is_doubtful, _RANK_BY_DISTANCE[distance]
