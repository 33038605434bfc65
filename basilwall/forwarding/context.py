"""Collaborators shared by all requests, and the recording of results."""

import logging
import math
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from basilwall.forwarding.crash_detector import CrashDetector
from basilwall.forwarding.retry_policy import RetryPolicy
from basilwall.forwarding.retry_rules import Blame, describe_result, rule_for
from basilwall.forwarding.return_time import ReturnTimes
from basilwall.forwarding.transport import Attempt, Transport
from basilwall.parts.clock import Clock
from basilwall.parts.hedge import HedgeDelay
from basilwall.records.forwarding import (
    AttemptResult,
    LossReason,
    Reply,
    Unsent,
)
from basilwall.records.routes import RetrySafety
from basilwall.routing.routing_state import RoutingState
from basilwall.routing.searcher_stats import SearcherStats
from basilwall.routing.selection import SearcherSelector

_log = logging.getLogger(__name__)


def _has_links() -> bool:
    return False


def _never() -> float:
    return math.inf


@dataclass(frozen=True, slots=True)
class ForwardingContext:
    """The collaborators that every request execution uses."""

    routing_state: RoutingState
    selector: SearcherSelector
    transport: Transport[Any]
    retry_policy: RetryPolicy
    crash_detector: CrashDetector
    clock: Clock
    #: Returns whether this VM reaches no searcher at all.
    are_links_lost: Callable[[], bool] = _has_links
    return_times: ReturnTimes = field(default_factory=ReturnTimes)
    #: Returns when a planned stop gives its last answers, in monotonic seconds.
    stops_at: Callable[[], float] = _never

    def is_stopped(self) -> bool:
        """Return whether a planned stop gives its last answers."""
        return self.clock.monotonic() >= self.stops_at()

    def is_given_up(self) -> bool:
        """Return whether this VM can't wait for searchers any longer."""
        return self.is_stopped() or self.are_links_lost()


def record_result(
    context: ForwardingContext,
    hedge_delay: HedgeDelay,
    attempt: Attempt,
    stats: SearcherStats,
    outcome: AttemptResult,
) -> None:
    """Update the statistics of a searcher with the result of an attempt.

    Args:
        context: The collaborators of the request.
        hedge_delay: The hedge delay of the route, learned from reply times.
        attempt: The attempt.
        stats: The statistics of its searcher.
        outcome: Its result.
    """
    if isinstance(outcome, Reply):
        context.selector.record_announcements(
            attempt.searcher, outcome, attempt.sent_at
        )
    was_failing = stats.is_failing
    blame = rule_for(RetrySafety.IDEMPOTENT, outcome).blame
    if _has_failed_to_connect(attempt, outcome):
        stats.record_connect_failure()
    elif blame is Blame.UNAVAILABLE:
        stats.record_refusal()
    elif blame is Blame.FAULTY:
        stats.record_failure()
    elif isinstance(outcome, Reply):
        seconds = context.clock.monotonic() - attempt.sent_at
        stats.record_reply(seconds)
        hedge_delay.observe(max(seconds - stats.round_trip, 0))
    if stats.is_failing is not was_failing:
        _log_change(stats, outcome)


def _has_failed_to_connect(attempt: Attempt, outcome: AttemptResult) -> bool:
    is_unconnected = (
        isinstance(outcome, Unsent)
        and outcome.reason is LossReason.NOT_CONNECTED
    )
    return is_unconnected and not attempt.is_connected


def _log_change(stats: SearcherStats, outcome: AttemptResult) -> None:
    searcher = stats.searcher
    _log.info(
        'searcher lost' if stats.is_failing else 'searcher regained',
        extra={
            'searcher': searcher.searcher_id,
            'service': searcher.service,
            'by': describe_result(outcome),
        },
    )
