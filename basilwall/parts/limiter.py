"""Adaptive concurrency limit, and its division among request classes.

A fixed share of the searchers' slots for each VM would waste the slots of idle
VMs and would not follow searchers that have become slow. The limit therefore
adapts by additive increase, multiplicative decrease (AIMD): it grows by one
for each limit's worth of requests that ended well while it was in use, and
shrinks by a factor when a request was late or was shed. Processes that share
the same searchers converge to similar limits without communicating.
"""

import threading
from collections import Counter
from collections.abc import Hashable, Mapping
from dataclasses import dataclass
from typing import Generic, TypeVar

from basilwall.parts.clock import Clock

DECREASE_FACTOR = 0.85
#: Least time between two decreases, so that one burst counts once.
DECREASE_INTERVAL_SECONDS = 0.1
#: The limit grows only while at least this share of it is in use.
MIN_USED_SHARE = 0.5
#: Time after its last request during which a class counts as active.
ACTIVE_SECONDS = 1.0

#: Places reserved for each other active class that is below its share.
RESERVED_PLACES = 1

ClassT = TypeVar('ClassT', bound=Hashable)


@dataclass(frozen=True, slots=True)
class LimitBounds:
    """Lowest, initial and highest value of a limit."""

    lowest: float
    initial: float
    highest: float


class AdaptiveLimit:
    """Limit on requests in flight that adapts to their outcomes (AIMD)."""

    def __init__(self, bounds: LimitBounds, clock: Clock) -> None:
        self._bounds = bounds
        self._clock = clock
        self._limit = bounds.initial
        self._decreased_at = clock.monotonic() - DECREASE_INTERVAL_SECONDS
        self._lock = threading.Lock()

    @property
    def limit(self) -> float:
        """The number of requests that may be in flight now."""
        return self._limit

    def record_completion(self, in_flight: int, is_congested: bool) -> None:
        """Adjust the limit after a request has ended.

        Args:
            in_flight: Requests in flight, the ended one included.
            is_congested: Whether the request was shed, late or nearly late.
        """
        with self._lock:
            if is_congested:
                self._decrease()
            elif in_flight >= self._limit * MIN_USED_SHARE:
                increased = self._limit + 1 / self._limit
                self._limit = min(increased, self._bounds.highest)

    def _decrease(self) -> None:
        now = self._clock.monotonic()
        if now - self._decreased_at < DECREASE_INTERVAL_SECONDS:
            return
        self._decreased_at = now
        self._limit = max(self._limit * DECREASE_FACTOR, self._bounds.lowest)


class WeightedShares(Generic[ClassT]):
    """Divides a limit among classes by weight and lends idle shares.

    A class below its guaranteed share is always admitted. Beyond its share it
    may use free places, except one for each other active class that is below
    its own share (trunk reservation). Under overload the reserved place goes
    to that class; without overload hardly any place is wasted.

    Not thread-safe: the caller must hold a lock.
    """

    def __init__(self, clock: Clock) -> None:
        self.in_flight = 0
        self._clock = clock
        self._in_flight_by_class: Counter[ClassT] = Counter()
        self._requested_at_by_class: dict[ClassT, float] = {}

    def try_acquire(
        self,
        class_name: ClassT,
        weights: Mapping[ClassT, int],
        limit: float,
    ) -> bool:
        """Take a place for one request of a class, if one is available.

        Args:
            class_name: The class.
            weights: The weight of each class, the requested one included.
            limit: The requests that may be in flight over all classes.

        Returns:
            Whether the place was taken.
        """
        now = self._clock.monotonic()
        self._requested_at_by_class[class_name] = now
        if self.in_flight + 1 > limit:
            return False
        shares = self._shares(weights, limit, now)
        own_count = self._in_flight_by_class[class_name] + 1
        reserved = sum(
            min(
                max(share - self._in_flight_by_class[other_name], 0),
                RESERVED_PLACES,
            )
            for other_name, share in shares.items()
            if other_name != class_name
        )
        is_within_share = own_count <= shares[class_name]
        if not is_within_share and self.in_flight + 1 + reserved > limit:
            return False
        self.in_flight += 1
        self._in_flight_by_class[class_name] = own_count
        return True

    def in_flight_of(self, class_name: ClassT) -> int:
        """Return how many requests of a class are in flight."""
        return self._in_flight_by_class[class_name]

    def release(self, class_name: ClassT) -> None:
        """Release a place that `try_acquire` took."""
        self.in_flight -= 1
        self._in_flight_by_class[class_name] -= 1

    def _shares(
        self,
        weights: Mapping[ClassT, int],
        limit: float,
        now: float,
    ) -> dict[ClassT, float]:
        active = {
            class_name: weight
            for class_name, weight in weights.items()
            if self._is_active(class_name, now)
        }
        total = sum(active.values())
        return {
            class_name: max(1, limit * weight / total)
            for class_name, weight in active.items()
        }

    def _is_active(self, class_name: ClassT, now: float) -> bool:
        requested_at = self._requested_at_by_class.get(class_name)
        return requested_at is not None and now - requested_at <= ACTIVE_SECONDS
