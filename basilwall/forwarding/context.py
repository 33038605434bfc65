"""What requests send with, and what a result says of its searcher."""

import logging
from dataclasses import dataclass
from typing import Any

from basilwall.forwarding.crash_detection import CrashDetector
from basilwall.forwarding.retry_policy import RetryPolicy
from basilwall.forwarding.retry_rules import Blame, describe_result, rule_for
from basilwall.forwarding.transport import Attempt, Transport
from basilwall.parts.clock import Clock
from basilwall.parts.hedge import HedgeDelay
from basilwall.records.forwarding import AttemptResult, Reply
from basilwall.records.routes import RetrySafety
from basilwall.routing.routing_state import RoutingState
from basilwall.routing.searcher_stats import SearcherStats
from basilwall.routing.selection import SearcherSelector

_log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class ForwardingContext:
    """What every run sends with."""

    routing_state: RoutingState
    selector: SearcherSelector
    transport: Transport[Any]
    retry_policy: RetryPolicy
    crash_detector: CrashDetector
    clock: Clock


def record_result(
    senders: ForwardingContext,
    hedge: HedgeDelay,
    attempt: Attempt,
    outcome: AttemptResult,
) -> None:
    """Keep what the result of an attempt says of its searcher.

    Args:
        senders: Where it is kept.
        hedge: The delay of the route, which learns how long replies take.
        attempt: The attempt.
        outcome: Its result.
    """
    standing = senders.selector.stats_of(attempt.searcher)
    was_failing = standing.is_failing
    blame = rule_for(RetrySafety.IDEMPOTENT, outcome).blame
    if blame is Blame.UNAVAILABLE:
        standing.record_refusal()
    elif blame is Blame.FAULTY:
        standing.record_failure()
    elif isinstance(outcome, Reply):
        seconds = senders.clock.monotonic() - attempt.sent_at
        standing.record_reply(seconds)
        hedge.observe(max(seconds - standing.round_trip, 0))
    if standing.is_failing is not was_failing:
        _log_change(standing, outcome)


def _log_change(standing: SearcherStats, outcome: AttemptResult) -> None:
    searcher = standing.searcher
    _log.info(
        'searcher lost' if standing.is_failing else 'searcher regained',
        extra={
            'searcher': searcher.searcher_id,
            'service': searcher.service,
            'by': describe_result(outcome),
        },
    )
