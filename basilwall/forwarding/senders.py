"""What requests send with, and what a result says of its searcher."""

import logging
from dataclasses import dataclass
from typing import Any

from basilwall.forwarding.crashes import ContentWatch
from basilwall.forwarding.policy import Policy
from basilwall.forwarding.rules import Blame, describe, rule_of
from basilwall.forwarding.transport import Attempt, Transport
from basilwall.parts.clock import Clock
from basilwall.parts.hedge import HedgeDelay
from basilwall.records.forwarding import AttemptResult, Reply
from basilwall.records.routes import Repeat
from basilwall.routing.deployment import Deployment
from basilwall.routing.placing import Placing
from basilwall.routing.standing import Standing

_log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class Senders:
    """What every run sends with."""

    deployment: Deployment
    placing: Placing
    transport: Transport[Any]
    policy: Policy
    crashes: ContentWatch
    clock: Clock


def note_result(
    senders: Senders,
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
    standing = senders.placing.standing(attempt.searcher)
    was_failing = standing.is_failing
    blame = rule_of(Repeat.IDEMPOTENT, outcome).blame
    if blame is Blame.NO_ROOM:
        standing.refused()
    elif blame is Blame.FAULTY:
        standing.failed()
    elif isinstance(outcome, Reply):
        seconds = senders.clock.monotonic() - attempt.sent_at
        standing.replied(seconds)
        hedge.observe(max(seconds - standing.trip, 0))
    if standing.is_failing is not was_failing:
        _log_change(standing, outcome)


def _log_change(standing: Standing, outcome: AttemptResult) -> None:
    searcher = standing.searcher
    _log.info(
        'searcher lost' if standing.is_failing else 'searcher regained',
        extra={
            'searcher': searcher.searcher_id,
            'service': searcher.service,
            'by': describe(outcome),
        },
    )
