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

from basilwall.forwarding.subrequest import SubRequest
from basilwall.records.forwarding import Call
from basilwall.records.routes import Route, ScatterGather

#: Time from here to the caller and for writing the answer, in seconds.
RETURN_MARGIN_SECONDS = 0.014
#: Keeps a product like 0.9 x 10 from counting as a little more than 9.
ROUNDING_TOLERANCE = 1e-9


class CompletionPolicy(ABC):
    """Decides when a request has waited long enough."""

    @abstractmethod
    def is_complete(self, legs: Sequence[SubRequest], now: float) -> bool:
        """Return whether the request ends now."""

    @abstractmethod
    def next_check_at(self, now: float) -> float:
        """Return when to look next if nothing comes, in monotonic seconds."""


class SingleCompletion(CompletionPolicy):
    """A request to one service: its reply, or its deadline."""

    def __init__(self, call: Call, route: Route) -> None:
        self._ends_at = _answer_deadline(call, route)

    def is_complete(self, legs: Sequence[SubRequest], now: float) -> bool:
        """Return whether all attempts ended or the time is up."""
        return now >= self._ends_at or all(leg.has_ended for leg in legs)

    def next_check_at(self, now: float) -> float:
        """Return the deadline."""
        return self._ends_at


class ScatterCompletion(CompletionPolicy):
    """A request to many shards: enough of them, by the time aimed at."""

    def __init__(
        self,
        call: Call,
        route: Route,
        scattering: ScatterGather,
    ) -> None:
        self._needed = min_shards(scattering)
        self._total = len(scattering.shards)
        self._ends_at = _answer_deadline(call, route)
        self._in_time_until = min(
            call.received_at + route.target_latency - RETURN_MARGIN_SECONDS,
            self._ends_at - RETURN_MARGIN_SECONDS,
        )

    def is_complete(self, legs: Sequence[SubRequest], now: float) -> bool:
        """Return whether waiting can't bring an answer that is worth more."""
        answered = sum(1 for leg in legs if leg.success is not None)
        still_open = sum(1 for leg in legs if leg.is_open)
        if not still_open or answered + still_open < self._needed:
            return True
        if now >= self._ends_at:
            return True
        return now >= self._in_time_until and answered >= self._needed

    def next_check_at(self, now: float) -> float:
        """Return the next moment at which the request may be settled."""
        if now < self._in_time_until:
            return self._in_time_until
        return self._ends_at


def _answer_deadline(call: Call, route: Route) -> float:
    """Return when the answer must leave for its caller to be still there."""
    return min(
        call.expires_at - RETURN_MARGIN_SECONDS,
        call.received_at + route.timeout,
    )


def min_subrequests(route: Route) -> int:
    """Return how many services must reply for there to be an answer."""
    return min_shards(route.scatter_gather) if route.scatter_gather else 1


def min_shards(scattering: ScatterGather) -> int:
    """Return how many shards an answer holds at least, never none."""
    share = scattering.min_answered_share * len(scattering.shards)
    return max(math.ceil(share - ROUNDING_TOLERANCE), 1)
