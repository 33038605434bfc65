"""Searchers that are leaving and get no new work.

A searcher is leaving if the fleet list says so, or if there is an active
notice: the searcher said so in a reply to this VM, or to a peer that passed
the notice on. Notices are used because the fleet list lags. A notice expires,
because a new process may start at the same address; an entry of the fleet list
counts until the list changes.

A notice carries the VM that observed it and a sequence number, and is sent to
peers with its age. Two copies of one notice have the same observer and number;
of these the greater age counts, so that a notice expires in time even if VMs
keep exchanging it.
"""

import threading
from collections.abc import Callable, Collection
from dataclasses import dataclass, replace

from basilwall.parts.clock import Clock
from basilwall.records.ids import Incarnation, SearcherAddress

#: Time after which a notice expires.
NOTICE_TTL_SECONDS = 30.0
#: Notices are kept for this many times their TTL, so that late copies of an
#: expired or revoked notice are recognised.
RETENTION_FACTOR = 2
#: This VM renews its own notice only after this share of the TTL.
RENEWAL_FRACTION = 0.5
#: Searchers with notices at one time; notices of further ones are ignored.
MAX_SEARCHERS = 20_000
#: Notices kept for one searcher, the latest ones.
MAX_NOTICES_PER_SEARCHER = 16
NO_OBSERVER = Incarnation('')


@dataclass(frozen=True, slots=True)
class LeavingNotice:
    """One observation that a searcher is leaving.

    `observed_at` is in monotonic seconds of this VM. A revoked notice is kept
    so that late copies of it have no effect.
    """

    observer: Incarnation
    number: int
    observed_at: float
    is_revoked: bool = False


class LeavingSearchers:
    """The searchers that get no new work."""

    def __init__(
        self,
        clock: Clock,
        observer: Incarnation = NO_OBSERVER,
        ttl_seconds: float = NOTICE_TTL_SECONDS,
    ) -> None:
        self._clock = clock
        self._observer = observer
        self._ttl_seconds = ttl_seconds
        self._last_number = 0
        self._listed_addresses: frozenset[SearcherAddress] = frozenset()
        self._notices_by_address: dict[
            SearcherAddress, tuple[LeavingNotice, ...]
        ] = {}
        self._listeners: list[Callable[[], None]] = []
        self._lock = threading.Lock()

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Call `listener` when a searcher becomes known to be leaving."""
        self._listeners.append(listener)

    def now(self) -> float:
        """Return the time of this VM by which notices are dated.

        Returns:
            Monotonic seconds.
        """
        return self._clock.monotonic()

    def update_listed(self, addresses: Collection[SearcherAddress]) -> None:
        """Set the searchers that the fleet list names as leaving."""
        self._listed_addresses = frozenset(addresses)

    def report_leaving(self, address: SearcherAddress) -> bool:
        """Record that a searcher told this VM that it is leaving.

        Args:
            address: The searcher.

        Returns:
            True if the searcher was not known to be leaving.
        """
        now = self._clock.monotonic()
        with self._lock:
            stored = self._notices_by_address.get(address, ())
            ages = [
                now - notice.observed_at
                for notice in stored
                if not notice.is_revoked
            ]
            if (
                min(ages, default=self._ttl_seconds)
                < self._ttl_seconds * RENEWAL_FRACTION
            ):
                return False
            self._last_number += 1
            notice = LeavingNotice(self._observer, self._last_number, now)
        return self.add_notice(address, notice)

    def add_notice(
        self, address: SearcherAddress, notice: LeavingNotice
    ) -> bool:
        """Add a notice of this VM or of a peer.

        Args:
            address: The searcher.
            notice: The notice, dated by the clock of this VM.

        Returns:
            True if the searcher was not known to be leaving.
        """
        now = self._clock.monotonic()
        with self._lock:
            stored = self._notices_by_address.get(address, ())
            if not stored and len(self._notices_by_address) >= MAX_SEARCHERS:
                return False
            was_leaving = self._has_active_notice(stored, now)
            merged = _merge(stored, notice)
            self._notices_by_address[address] = merged
            is_newly_leaving = (
                self._has_active_notice(merged, now) and not was_leaving
            )
        if is_newly_leaving:
            for listener in self._listeners:
                listener()
        return is_newly_leaving

    def revoke_notices(self, address: SearcherAddress) -> None:
        """Revoke all notices of `address`: a new process serves there."""
        with self._lock:
            self._notices_by_address[address] = tuple(
                replace(notice, is_revoked=True)
                for notice in self._notices_by_address.get(address, ())
            )

    def is_leaving(self, address: SearcherAddress) -> bool:
        """Return whether `address` is listed or has an active notice."""
        if address in self._listed_addresses:
            return True
        stored = self._notices_by_address.get(address)
        if stored is None:
            return False
        return self._has_active_notice(stored, self._clock.monotonic())

    def recent_notices(self) -> list[tuple[SearcherAddress, LeavingNotice]]:
        """Return the notices younger than the TTL, the latest first.

        Revoked notices are included.
        """
        now = self._clock.monotonic()
        self._evict_old(now)
        notices = [
            (address, notice)
            for address, stored in tuple(self._notices_by_address.items())
            for notice in stored
            if now - notice.observed_at < self._ttl_seconds
        ]
        return sorted(notices, key=lambda item: -item[1].observed_at)

    def notice_ages(self) -> dict[SearcherAddress, float]:
        """Return the age of each leaving searcher's latest notice.

        Returns:
            Ages in seconds; 0 for searchers of the fleet list.
        """
        now = self._clock.monotonic()
        age_by_address = {
            address: now - notice.observed_at
            for address, notice in reversed(self.recent_notices())
            if not notice.is_revoked
        }
        return age_by_address | dict.fromkeys(self._listed_addresses, float(0))

    def _has_active_notice(
        self, stored: tuple[LeavingNotice, ...], now: float
    ) -> bool:
        return any(
            not notice.is_revoked
            and now - notice.observed_at < self._ttl_seconds
            for notice in stored
        )

    def _evict_old(self, now: float) -> None:
        oldest_kept_at = now - self._ttl_seconds * RETENTION_FACTOR
        with self._lock:
            for address, stored in tuple(self._notices_by_address.items()):
                kept = tuple(
                    notice
                    for notice in stored
                    if notice.observed_at > oldest_kept_at
                )
                if kept:
                    self._notices_by_address[address] = kept
                else:
                    self._notices_by_address.pop(address)


def _merge(
    stored: tuple[LeavingNotice, ...], received: LeavingNotice
) -> tuple[LeavingNotice, ...]:
    by_observer = {notice.observer: notice for notice in stored}
    existing = by_observer.get(received.observer)
    if existing is None or received.number > existing.number:
        by_observer[received.observer] = received
    elif received.number == existing.number:
        by_observer[received.observer] = replace(
            existing,
            observed_at=min(existing.observed_at, received.observed_at),
            is_revoked=existing.is_revoked or received.is_revoked,
        )
    latest = sorted(by_observer.values(), key=lambda notice: notice.observed_at)
    return tuple(latest[-MAX_NOTICES_PER_SEARCHER:])
