"""Searchers that are leaving, by whichever sign came first.

The fleet list lags, so a drain sign in a reply or a peer's word counts as
much. A sign ends by itself, because the same address may come back with a new
process; what the fleet list says lasts for as long as the list says so.

A sign names the VM that saw it and a number, and it is passed on with its age.
Two copies of one sign are told apart from two signs: of two copies the older
age counts, so a sign that goes round among VMs for ever still ends in time.
"""

import threading
from collections.abc import Callable, Collection
from dataclasses import dataclass, replace

from basilwall.parts.clock import Clock
from basilwall.records.ids import Incarnation, SearcherAddress

#: How long one sign is believed, in seconds.
NOTICE_TTL_SECONDS = 30.0
#: An ended sign is remembered for this many times its belief.
RETENTION_FACTOR = 2
#: A searcher is not marked anew before this share of the belief has passed.
RENEWAL_FRACTION = 0.5
#: Searchers with signs at once; further ones are not marked.
MAX_SEARCHERS = 20_000
#: Signs kept for one searcher, the latest ones.
MAX_NOTICES_PER_SEARCHER = 16
NO_OBSERVER = Incarnation('')


@dataclass(frozen=True, slots=True)
class LeavingNotice:
    """One sign of leaving; `seen_at` is in monotonic seconds of this VM."""

    observer: Incarnation
    number: int
    observed_at: float
    is_revoked: bool = False


class LeavingSearchers:
    """Addresses that get no new work for now."""

    def __init__(
        self,
        clock: Clock,
        observer: Incarnation = NO_OBSERVER,
        belief: float = NOTICE_TTL_SECONDS,
    ) -> None:
        self._clock = clock
        self._observer = observer
        self._belief = belief
        self._number = 0
        self._listed: frozenset[SearcherAddress] = frozenset()
        self._signs_by_address: dict[
            SearcherAddress, tuple[LeavingNotice, ...]
        ] = {}
        self._listeners: list[Callable[[], None]] = []
        self._lock = threading.Lock()

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Call `listener` when a searcher is newly known to be leaving."""
        self._listeners.append(listener)

    def now(self) -> float:
        """Return the time by which signs are dated, in monotonic seconds."""
        return self._clock.monotonic()

    def update_listed(self, addresses: Collection[SearcherAddress]) -> None:
        """Take in the searchers that the fleet list names as leaving."""
        self._listed = frozenset(addresses)

    def report_leaving(self, address: SearcherAddress) -> bool:
        """Note that this VM itself saw a sign that `address` is leaving.

        Args:
            address: The searcher.

        Returns:
            True if the searcher was not known to be leaving.
        """
        now = self._clock.monotonic()
        with self._lock:
            known = self._signs_by_address.get(address, ())
            ages = [
                now - sign.observed_at for sign in known if not sign.is_revoked
            ]
            if (
                min(ages, default=self._belief)
                < self._belief * RENEWAL_FRACTION
            ):
                return False
            self._number += 1
            sign = LeavingNotice(self._observer, self._number, now)
        return self.add_notice(address, sign)

    def add_notice(self, address: SearcherAddress, sign: LeavingNotice) -> bool:
        """Take in a sign, of this VM or of another one.

        Args:
            address: The searcher.
            sign: The sign, dated by the clock of this VM.

        Returns:
            True if the searcher was not known to be leaving.
        """
        now = self._clock.monotonic()
        with self._lock:
            known = self._signs_by_address.get(address, ())
            if not known and len(self._signs_by_address) >= MAX_SEARCHERS:
                return False
            was_leaving = self._believed(known, now)
            joined = _join(known, sign)
            self._signs_by_address[address] = joined
            fresh = self._believed(joined, now) and not was_leaving
        if fresh:
            for listener in self._listeners:
                listener()
        return fresh

    def revoke_notices(self, address: SearcherAddress) -> None:
        """Note that a new process serves at `address`: its signs end."""
        with self._lock:
            self._signs_by_address[address] = tuple(
                replace(sign, is_revoked=True)
                for sign in self._signs_by_address.get(address, ())
            )

    def is_leaving(self, address: SearcherAddress) -> bool:
        """Return whether `address` is listed or has a believed sign."""
        if address in self._listed:
            return True
        known = self._signs_by_address.get(address)
        if known is None:
            return False
        return self._believed(known, self._clock.monotonic())

    def recent_notices(self) -> list[tuple[SearcherAddress, LeavingNotice]]:
        """Return all signs within their time, the latest first."""
        now = self._clock.monotonic()
        self._forget(now)
        signs = [
            (address, sign)
            for address, known in tuple(self._signs_by_address.items())
            for sign in known
            if now - sign.observed_at < self._belief
        ]
        return sorted(signs, key=lambda one: -one[1].observed_at)

    def notice_ages(self) -> dict[SearcherAddress, float]:
        """Return the age of each leaving searcher's sign, 0 if listed."""
        now = self._clock.monotonic()
        age_by_address = {
            address: now - sign.observed_at
            for address, sign in reversed(self.recent_notices())
            if not sign.is_revoked
        }
        return age_by_address | dict.fromkeys(self._listed, float(0))

    def _believed(self, known: tuple[LeavingNotice, ...], now: float) -> bool:
        return any(
            not sign.is_revoked and now - sign.observed_at < self._belief
            for sign in known
        )

    def _forget(self, now: float) -> None:
        horizon = now - self._belief * RETENTION_FACTOR
        with self._lock:
            for address, known in tuple(self._signs_by_address.items()):
                kept = tuple(one for one in known if one.observed_at > horizon)
                if kept:
                    self._signs_by_address[address] = kept
                else:
                    self._signs_by_address.pop(address)


def _join(
    known: tuple[LeavingNotice, ...], told: LeavingNotice
) -> tuple[LeavingNotice, ...]:
    by_observer = {sign.observer: sign for sign in known}
    former = by_observer.get(told.observer)
    if former is None or told.number > former.number:
        by_observer[told.observer] = told
    elif told.number == former.number:
        by_observer[told.observer] = replace(
            former,
            observed_at=min(former.observed_at, told.observed_at),
            is_revoked=former.is_revoked or told.is_revoked,
        )
    latest = sorted(by_observer.values(), key=lambda sign: sign.observed_at)
    return tuple(latest[-MAX_NOTICES_PER_SEARCHER:])
