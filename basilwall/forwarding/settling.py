"""When a request is settled: nothing better can come of waiting.

A request to one service ends with its attempts or at its deadline. One to many
shards may end with fewer of them. An answer is worth the square of the share of
shards in it, and a late one about a tenth: so one that is missing few shards is
given just in time rather than whole and late. This answers searchers that
pause or are lost, of which there is nearly always one among many shards.
"""

import math
from abc import ABC, abstractmethod
from collections.abc import Sequence

from basilwall.forwarding.leg import Leg
from basilwall.records.forwarding import Call
from basilwall.records.routes import Route, Scattering

#: Time from here to the caller and for writing the answer, in seconds.
WAY_BACK = 0.014
#: Keeps a product like 0.9 x 10 from counting as a little more than 9.
ROUNDING = 1e-9


class Settling(ABC):
    """Decides when a request has waited long enough."""

    @abstractmethod
    def is_settled(self, legs: Sequence[Leg], now: float) -> bool:
        """Return whether the request ends now."""

    @abstractmethod
    def looks_at(self, now: float) -> float:
        """Return when to look next if nothing comes, in monotonic seconds."""


class SingleSettling(Settling):
    """A request to one service: its reply, or its deadline."""

    def __init__(self, call: Call, route: Route) -> None:
        self._ends_at = _last_moment(call, route)

    def is_settled(self, legs: Sequence[Leg], now: float) -> bool:
        """Return whether all attempts ended or the time is up."""
        return now >= self._ends_at or all(leg.has_ended for leg in legs)

    def looks_at(self, now: float) -> float:
        """Return the deadline."""
        return self._ends_at


class ShardSettling(Settling):
    """A request to many shards: enough of them, by the time aimed at."""

    def __init__(
        self,
        call: Call,
        route: Route,
        scattering: Scattering,
    ) -> None:
        self._needed = least_shards(scattering)
        self._total = len(scattering.shards)
        self._ends_at = _last_moment(call, route)
        self._in_time_until = min(
            call.received_at + route.target_latency - WAY_BACK,
            self._ends_at - WAY_BACK,
        )

    def is_settled(self, legs: Sequence[Leg], now: float) -> bool:
        """Return whether waiting can't bring an answer that is worth more."""
        answered = sum(1 for leg in legs if leg.success is not None)
        still_open = sum(1 for leg in legs if leg.is_open)
        if not still_open or answered + still_open < self._needed:
            return True
        if now >= self._ends_at:
            return True
        return now >= self._in_time_until and answered >= self._needed

    def looks_at(self, now: float) -> float:
        """Return the next moment at which the request may be settled."""
        if now < self._in_time_until:
            return self._in_time_until
        return self._ends_at


def _last_moment(call: Call, route: Route) -> float:
    """Return when the answer must leave for its caller to be still there."""
    return min(
        call.expires_at - WAY_BACK,
        call.received_at + route.longest_wait,
    )


def least_legs(route: Route) -> int:
    """Return how many services must reply for there to be an answer."""
    return least_shards(route.scattering) if route.scattering else 1


def least_shards(scattering: Scattering) -> int:
    """Return how many shards an answer holds at least, never none."""
    share = scattering.least_share * len(scattering.shards)
    return max(math.ceil(share - ROUNDING), 1)
