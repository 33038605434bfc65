"""Decides when a request stops waiting for further replies.

A request to one service ends with its last attempt or at its deadline. A
request to many shards may end with only some of them: a partial answer is
worth the square of its share of shards, and a late answer about a tenth. So
an answer that lacks few shards is sent at the target latency rather than
complete but late. Among many shards there is nearly always a searcher that
pauses or is lost, and the request must not wait for it.
"""

import math
from abc import ABC, abstractmethod
from collections.abc import Sequence

from basilwall.forwarding.subrequest import SubRequest
from basilwall.records.forwarding import Call
from basilwall.records.routes import Route, ScatterGather

#: At most this share of the target latency is reserved to return an answer.
MAX_RETURN_RATIO = 0.3
#: Keeps a product such as 0.9 x 10, which may be slightly above 9, from being
#: rounded up.
ROUNDING_TOLERANCE = 1e-9


class CompletionPolicy(ABC):
    """Decides when a request stops waiting."""

    @abstractmethod
    def is_complete(
        self, subrequests: Sequence[SubRequest], now: float
    ) -> bool:
        """Return whether the request stops waiting now."""

    @abstractmethod
    def next_check_at(self, now: float) -> float:
        """Return when to check again without a result, in monotonic seconds."""


class SingleCompletion(CompletionPolicy):
    """Waits for the reply of one service, until the deadline."""

    def __init__(
        self, call: Call, route: Route, return_seconds: float = 0
    ) -> None:
        """Make a policy; `return_seconds` is what returning an answer takes."""
        margin = _return_margin(call, route, return_seconds)
        self._deadline = _answer_deadline(call, route, margin)

    def is_complete(
        self, subrequests: Sequence[SubRequest], now: float
    ) -> bool:
        """Return whether all attempts ended or the deadline has passed."""
        return now >= self._deadline or all(
            subrequest.has_ended for subrequest in subrequests
        )

    def next_check_at(self, now: float) -> float:
        """Return the deadline."""
        return self._deadline


class ScatterCompletion(CompletionPolicy):
    """Waits for all shards, and after the target latency for enough."""

    def __init__(
        self,
        call: Call,
        route: Route,
        scatter_gather: ScatterGather,
        return_seconds: float = 0,
    ) -> None:
        """Make a policy.

        Args:
            call: The request.
            route: Its route.
            scatter_gather: How the route combines the answers of its shards.
            return_seconds: What returning an answer takes on this VM.
        """
        margin = _return_margin(call, route, return_seconds)
        self._min_answers = min_shards(scatter_gather)
        self._total = len(scatter_gather.shards)
        self._deadline = _answer_deadline(call, route, margin)
        self._target_deadline = min(
            call.received_at + route.target_latency - margin,
            self._deadline - margin,
        )

    def is_complete(
        self, subrequests: Sequence[SubRequest], now: float
    ) -> bool:
        """Return whether waiting can not give an answer that is worth more."""
        answered_count = sum(
            1 for subrequest in subrequests if subrequest.success is not None
        )
        open_count = sum(1 for subrequest in subrequests if subrequest.is_open)
        if not open_count or answered_count + open_count < self._min_answers:
            return True
        if now >= self._deadline:
            return True
        return (
            now >= self._target_deadline and answered_count >= self._min_answers
        )

    def next_check_at(self, now: float) -> float:
        """Return the next time at which the request may stop waiting."""
        if now < self._target_deadline:
            return self._target_deadline
        return self._deadline


def _return_margin(call: Call, route: Route, return_seconds: float) -> float:
    """Return how long before it is due an answer is begun, in seconds."""
    longest = route.target_latency * MAX_RETURN_RATIO
    return min(call.transfer_seconds + return_seconds, longest)


def _answer_deadline(call: Call, route: Route, margin: float) -> float:
    """Return when to answer so that the caller still receives it."""
    return min(
        call.expires_at - margin,
        call.received_at + route.timeout,
    )


def min_subrequests(route: Route) -> int:
    """Return how many services must reply for an answer."""
    return min_shards(route.scatter_gather) if route.scatter_gather else 1


def min_shards(scatter_gather: ScatterGather) -> int:
    """Return how many shards an answer needs, at least one."""
    share = scatter_gather.min_answered_share * len(scatter_gather.shards)
    return max(math.ceil(share - ROUNDING_TOLERANCE), 1)
