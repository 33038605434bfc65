"""Which VMs of ours are alive, as far as this one can tell.

The fleet list seeds the view and lags; what a VM heard itself counts more.
Nothing that must be true rests on this view: it only decides whom to talk to.
"""

import threading
from collections.abc import Collection
from dataclasses import dataclass, replace

from basilwall.parts.clock import Clock
from basilwall.records.ids import Incarnation, VmAddress, Zone

#: A member not heard of for this long is no longer talked to, in seconds.
MEMBER_TTL_SECONDS = 60.0
#: A member heard from within this time counts as alive, in seconds.
LIVENESS_TIMEOUT_SECONDS = 5.0
#: Members kept beside those of the fleet list; further ones are passed over.
MAX_MEMBERS = 4096
NO_INCARNATION = Incarnation('')
NO_ZONE = Zone('')
_NEVER = float('-inf')


@dataclass(frozen=True, slots=True)
class Member:
    """One VM by its peer address."""

    address: VmAddress
    incarnation: Incarnation = NO_INCARNATION
    zone: Zone = NO_ZONE
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class _Sighting:
    member: Member
    heard_from_at: float
    heard_of_at: float


class Membership:
    """The VMs that this one knows, itself among them.

    `seeds` are asked first and always, also while there is no fleet list.
    """

    def __init__(
        self,
        own: Member,
        clock: Clock,
        seeds: Collection[VmAddress] = (),
    ) -> None:
        self.own = own
        self._clock = clock
        self._seeds = frozenset(seeds) - {own.address}
        self._by_address: dict[VmAddress, _Sighting] = {}
        self._listed: frozenset[VmAddress] = frozenset()
        self._lock = threading.Lock()

    def announce_leaving(self) -> None:
        """Tell others from now on that this VM is leaving."""
        self.own = replace(self.own, leaving=True)

    def update_seeds(self, seeds: Collection[VmAddress]) -> None:
        """Ask these first from now on."""
        self._seeds = frozenset(seeds) - {self.own.address}

    def update_listed(self, addresses: Collection[VmAddress]) -> None:
        """Take in the live VMs of the fleet list."""
        self._listed = frozenset(addresses) - {self.own.address}

    def record_contact(self, member: Member) -> None:
        """Note that a member itself has spoken."""
        now = self._clock.monotonic()
        self._note(_Sighting(member, now, now))

    def record_mention(self, member: Member) -> None:
        """Note that somebody named a member as alive.

        What the member itself said counts more; only that it is leaving is
        believed of others, for the same incarnation.
        """
        with self._lock:
            known = self._by_address.get(member.address)
        if known is None:
            now = self._clock.monotonic()
            self._note(_Sighting(member, _NEVER, now))
        elif member.leaving and member.incarnation == known.member.incarnation:
            self._note(replace(known, member=member))

    def peers(self) -> list[VmAddress]:
        """Return the addresses to talk to, this VM's own not among them."""
        with self._lock:
            self._forget()
            return sorted(
                self._seeds | self._listed | self._by_address.keys(),
            )

    def known_members(self) -> list[Member]:
        """Return the members that were heard of, however they were."""
        with self._lock:
            self._forget()
            return [one.member for one in self._by_address.values()]

    def live_members(self) -> list[Member]:
        """Return the members heard from lately."""
        horizon = self._clock.monotonic() - LIVENESS_TIMEOUT_SECONDS
        with self._lock:
            return [
                sighting.member
                for sighting in self._by_address.values()
                if sighting.heard_from_at > horizon
            ]

    def _forget(self) -> None:
        now = self._clock.monotonic()
        self._by_address = {
            address: sighting
            for address, sighting in self._by_address.items()
            if now - sighting.heard_of_at < _patience(sighting.member)
        }

    def _note(self, sighting: _Sighting) -> None:
        address = sighting.member.address
        with self._lock:
            known = address in self._by_address
            has_room = known or len(self._by_address) < MAX_MEMBERS
            if address and address != self.own.address and has_room:
                self._by_address[address] = sighting


def _patience(member: Member) -> float:
    return LIVENESS_TIMEOUT_SECONDS if member.leaving else MEMBER_TTL_SECONDS
