"""How much may be in flight at once, found by what becomes of it.

A fixed share of the slots wastes those of VMs that are idle and says nothing
of searchers that have become slow. The limit here grows by one for each
round of requests that ended well while it was in use, and shrinks by a
factor when one ended too late or was shed (additive increase,
multiplicative decrease). Several processes that do the same over the same
searchers settle at like shares without a word between them.
"""

import threading
from collections import Counter
from collections.abc import Hashable, Mapping
from dataclasses import dataclass
from typing import Generic, TypeVar

from basilwall.parts.clock import Clock

DECREASE_FACTOR = 0.85
#: Between two decreases, so that one burst counts once, in seconds.
DECREASE_INTERVAL_SECONDS = 0.1
#: The limit grows only while at least this share of it is used.
MIN_USED_SHARE = 0.5
#: A class counts as active this long after it last asked, in seconds.
ACTIVE_SECONDS = 1.0

#: Places kept free for a class that is below its share.
RESERVED_PLACES = 1

ClassT = TypeVar('ClassT', bound=Hashable)


@dataclass(frozen=True, slots=True)
class LimitBounds:
    """Between which values a limit moves, and where it starts."""

    lowest: float
    initial: float
    highest: float


class AdaptiveLimit:
    """A limit on requests in flight that follows their outcomes."""

    def __init__(self, bounds: LimitBounds, clock: Clock) -> None:
        self._bounds = bounds
        self._clock = clock
        self._limit = bounds.initial
        self._decreased_at = clock.monotonic() - DECREASE_INTERVAL_SECONDS
        self._lock = threading.Lock()

    @property
    def limit(self) -> float:
        """The most that may be in flight now."""
        return self._limit

    def record_completion(self, in_flight: int, congested: bool) -> None:
        """Count one request that ended.

        Args:
            in_flight: How many there were with it.
            congested: Whether it was shed, or too late, or nearly so.
        """
        with self._lock:
            if congested:
                self._decrease()
            elif in_flight >= self._limit * MIN_USED_SHARE:
                raised = self._limit + 1 / self._limit
                self._limit = min(raised, self._bounds.highest)

    def _decrease(self) -> None:
        now = self._clock.monotonic()
        if now - self._decreased_at < DECREASE_INTERVAL_SECONDS:
            return
        self._decreased_at = now
        self._limit = max(self._limit * DECREASE_FACTOR, self._bounds.lowest)


class WeightedShares(Generic[ClassT]):
    """Divides a limit among classes by weight; idle shares are lent.

    A class is always let in below its guaranteed share. Beyond it, it may
    use what is free but for one place for each other active class that is
    below its own share (trunk reservation): under overload such a place goes
    to that class, and below it hardly any is wasted. Not safe for threads by
    itself: its owner holds a lock.
    """

    def __init__(self, clock: Clock) -> None:
        self.in_flight = 0
        self._clock = clock
        self._in_flight_by_class: Counter[ClassT] = Counter()
        self._asked_at_by_class: dict[ClassT, float] = {}

    def try_acquire(
        self,
        name: ClassT,
        weights: Mapping[ClassT, int],
        limit: float,
    ) -> bool:
        """Take a place for one request of a class, if it may have one.

        Args:
            name: The class.
            weights: The weight of each class, with that one among them.
            limit: The most that may be in flight over all of them.

        Returns:
            Whether the place was taken.
        """
        now = self._clock.monotonic()
        self._asked_at_by_class[name] = now
        if self.in_flight + 1 > limit:
            return False
        shares = self._shares(weights, limit, now)
        own = self._in_flight_by_class[name] + 1
        set_aside = sum(
            min(
                max(share - self._in_flight_by_class[other], 0), RESERVED_PLACES
            )
            for other, share in shares.items()
            if other != name
        )
        within = own <= shares[name]
        if not within and self.in_flight + 1 + set_aside > limit:
            return False
        self.in_flight += 1
        self._in_flight_by_class[name] = own
        return True

    def in_flight_of(self, class_name: ClassT) -> int:
        """Return how many requests of a class are in flight."""
        return self._in_flight_by_class[class_name]

    def release(self, class_name: ClassT) -> None:
        """Give a place back."""
        self.in_flight -= 1
        self._in_flight_by_class[class_name] -= 1

    def _shares(
        self,
        weights: Mapping[ClassT, int],
        limit: float,
        now: float,
    ) -> dict[ClassT, float]:
        active = {
            name: weight
            for name, weight in weights.items()
            if self._is_active(name, now)
        }
        total = sum(active.values())
        return {
            name: max(1, limit * weight / total)
            for name, weight in active.items()
        }

    def _is_active(self, name: ClassT, now: float) -> bool:
        asked_at = self._asked_at_by_class.get(name)
        return asked_at is not None and now - asked_at <= ACTIVE_SECONDS
