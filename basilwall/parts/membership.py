"""Which VMs of ours are alive, as far as this one can tell.

The fleet list seeds the view and lags; what a VM heard itself counts more.
Nothing that must be true rests on this view: it only decides whom to talk to.
"""

import threading
from dataclasses import dataclass, replace

from basilwall.parts.clock import Clock
from basilwall.records.ids import Incarnation, VmAddress, Zone

#: A member not heard of for this long is no longer talked to, in seconds.
FORGET_AFTER = 60.0
#: A member heard from within this time counts as alive, in seconds.
ALIVE_WITHIN = 5.0
NO_INCARNATION = Incarnation('')
NO_ZONE = Zone('')


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
    """The VMs that this one knows, itself among them."""

    def __init__(self, own: Member, clock: Clock) -> None:
        self.own = own
        self._clock = clock
        self._by_address: dict[VmAddress, _Sighting] = {}
        self._listed: set[VmAddress] = set()
        self._lock = threading.Lock()

    def leave(self) -> None:
        """Tell others from now on that this VM is leaving."""
        self.own = replace(self.own, leaving=True)

    def listed(self, addresses: set[VmAddress]) -> None:
        """Take in the live VMs of the fleet list."""
        self._listed = addresses - {self.own.address}

    def heard_from(self, member: Member) -> None:
        """Note that a member itself has spoken."""
        now = self._clock.monotonic()
        self._note(_Sighting(member, now, now))

    def heard_of(self, member: Member) -> None:
        """Note that somebody named a member as alive."""
        known = self._by_address.get(member.address)
        if known is None:
            now = self._clock.monotonic()
            self._note(_Sighting(member, 0, now))

    def peers(self) -> list[VmAddress]:
        """Return the addresses to talk to, this VM's own not among them."""
        horizon = self._clock.monotonic() - FORGET_AFTER
        with self._lock:
            self._by_address = {
                address: sighting
                for address, sighting in self._by_address.items()
                if sighting.heard_of_at > horizon
            }
            return sorted(self._listed | self._by_address.keys())

    def alive(self) -> list[Member]:
        """Return the members heard from lately."""
        horizon = self._clock.monotonic() - ALIVE_WITHIN
        with self._lock:
            return [
                sighting.member
                for sighting in self._by_address.values()
                if sighting.heard_from_at > horizon
            ]

    def _note(self, sighting: _Sighting) -> None:
        address = sighting.member.address
        if address and address != self.own.address:
            with self._lock:
                self._by_address[address] = sighting
