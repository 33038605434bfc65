"""Membership: which VMs are alive, as seen by this VM.

The fleet list is the initial view, but it lags; messages received from a VM
take precedence. Correctness never depends on the membership: it only decides
which VMs to contact.
"""

import threading
from collections.abc import Collection
from dataclasses import dataclass, replace

from basilwall.parts.clock import Clock
from basilwall.records.ids import Incarnation, VmAddress, Zone

#: Time after which a member that nobody mentions is removed.
MEMBER_TTL_SECONDS = 60.0
#: Time after its last message during which a member counts as alive.
LIVENESS_TIMEOUT_SECONDS = 5.0
#: Members kept besides those of the fleet list; further ones are ignored.
MAX_MEMBERS = 4096
NO_INCARNATION = Incarnation('')
NO_ZONE = Zone('')
NO_ADDRESS = VmAddress('')
_NEVER = float('-inf')


@dataclass(frozen=True, slots=True)
class Member:
    """One VM, identified by its peer address.

    `relay_address` is where it takes requests that other VMs relay to it, empty
    if it takes none. `reaches_searchers` is False while it has no link to any.
    `link_mbps` is the width of its network link, 0 if unknown.
    """

    address: VmAddress
    incarnation: Incarnation = NO_INCARNATION
    zone: Zone = NO_ZONE
    leaving: bool = False
    relay_address: VmAddress = NO_ADDRESS
    reaches_searchers: bool = True
    link_mbps: float = 0


@dataclass(frozen=True, slots=True)
class _MemberRecord:
    member: Member
    contacted_at: float
    mentioned_at: float


class Membership:
    """The VMs that this VM knows.

    Args:
        own: This VM.
        clock: Dates the contacts with members.
        seeds: Addresses that always count as peers, even without a fleet list.
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
        self._by_address: dict[VmAddress, _MemberRecord] = {}
        self._listed_addresses: frozenset[VmAddress] = frozenset()
        self._lock = threading.Lock()

    def announce_leaving(self) -> None:
        """Mark this VM as leaving in what it sends to others."""
        self.own = replace(self.own, leaving=True)

    def announce_links(self, *, reaches_searchers: bool) -> None:
        """Tell others whether this VM reaches searchers."""
        self.own = replace(self.own, reaches_searchers=reaches_searchers)

    def update_seeds(self, seeds: Collection[VmAddress]) -> None:
        """Replace the seed addresses."""
        self._seeds = frozenset(seeds) - {self.own.address}

    def update_listed(self, addresses: Collection[VmAddress]) -> None:
        """Set the live VMs of the fleet list."""
        self._listed_addresses = frozenset(addresses) - {self.own.address}

    def record_contact(self, member: Member) -> None:
        """Record a message received from a member itself."""
        now = self._clock.monotonic()
        self._store(_MemberRecord(member, now, now))

    def record_mention(self, member: Member) -> None:
        """Record that another VM named a member as alive.

        It does not change a known member, except that it is leaving, for the
        same incarnation: what a member sends itself takes precedence.
        """
        with self._lock:
            known = self._by_address.get(member.address)
        if known is None:
            now = self._clock.monotonic()
            self._store(_MemberRecord(member, _NEVER, now))
        elif member.leaving and member.incarnation == known.member.incarnation:
            self._store(replace(known, member=member))

    def peers(self) -> list[VmAddress]:
        """Return the addresses of the other VMs to contact."""
        with self._lock:
            self._evict_expired()
            return sorted(
                self._seeds | self._listed_addresses | self._by_address.keys(),
            )

    def known_members(self) -> list[Member]:
        """Return the members that were contacted or mentioned."""
        with self._lock:
            self._evict_expired()
            return [record.member for record in self._by_address.values()]

    def live_members(
        self, max_age_seconds: float = LIVENESS_TIMEOUT_SECONDS
    ) -> list[Member]:
        """Return the members that sent a message recently.

        Args:
            max_age_seconds: How long ago the message may be.
        """
        oldest_live_at = self._clock.monotonic() - max_age_seconds
        with self._lock:
            return [
                record.member
                for record in self._by_address.values()
                if record.contacted_at > oldest_live_at
            ]

    def _evict_expired(self) -> None:
        now = self._clock.monotonic()
        self._by_address = {
            address: record
            for address, record in self._by_address.items()
            if now - record.mentioned_at < _member_ttl_seconds(record.member)
        }

    def _store(self, record: _MemberRecord) -> None:
        address = record.member.address
        with self._lock:
            is_known = address in self._by_address
            has_room = is_known or len(self._by_address) < MAX_MEMBERS
            if address and address != self.own.address and has_room:
                self._by_address[address] = record


def _member_ttl_seconds(member: Member) -> float:
    return LIVENESS_TIMEOUT_SECONDS if member.leaving else MEMBER_TTL_SECONDS
