"""Retry rules: what an attempt's result means for its request and searcher.

A table gives for each kind of result whether another attempt is allowed,
whether that attempt is charged to the retry budget, and whether the result
counts against the searcher.
"""

from dataclasses import dataclass
from enum import Enum

from basilwall.records.forwarding import AttemptResult, Lost, Reply, Unsent
from basilwall.records.routes import RetrySafety

HTTP_CLIENT_ERROR = 400
HTTP_SERVER_ERROR = 500


class ResultKind(Enum):
    """The kinds of result, written to logs by their values.

    REJECTED is a client error (4xx), FAILED any other reply that is no
    success, REFUSED a reply that says that the request did not run.
    """

    SUCCESS = 'success'
    REJECTED = 'rejected'
    REFUSED = 'refused'
    FAILED = 'failed'
    LOST = 'lost'
    UNSENT = 'unsent'


class Blame(Enum):
    """What a result says about the health of its searcher."""

    NONE = 'none'
    UNAVAILABLE = 'no_room'
    FAULTY = 'faulty'


@dataclass(frozen=True, slots=True)
class RetryRule:
    """What follows from a result.

    `is_budget_exempt` means that the retry is not charged to the budget.
    """

    may_retry: bool
    is_budget_exempt: bool
    may_have_run: bool
    blame: Blame


_FINAL = RetryRule(False, False, True, Blame.NONE)
_RULES_BY_KIND = {
    ResultKind.SUCCESS: _FINAL,
    ResultKind.REJECTED: _FINAL,
    ResultKind.REFUSED: RetryRule(True, False, False, Blame.UNAVAILABLE),
    ResultKind.FAILED: RetryRule(True, False, True, Blame.FAULTY),
    ResultKind.LOST: RetryRule(True, False, True, Blame.FAULTY),
    ResultKind.UNSENT: RetryRule(True, True, False, Blame.UNAVAILABLE),
}
#: An at-most-once request is not retried once it may have run.
_AT_MOST_ONCE_RULES_BY_KIND = _RULES_BY_KIND | {
    ResultKind.FAILED: RetryRule(False, False, True, Blame.FAULTY),
    ResultKind.LOST: RetryRule(False, False, True, Blame.FAULTY),
}
RULES_BY_RETRY_SAFETY = {
    RetrySafety.IDEMPOTENT: _RULES_BY_KIND,
    RetrySafety.AT_MOST_ONCE: _AT_MOST_ONCE_RULES_BY_KIND,
}


def classify(outcome: AttemptResult) -> ResultKind:
    """Return the kind of a result."""
    if isinstance(outcome, Unsent):
        return ResultKind.UNSENT
    if isinstance(outcome, Lost):
        return ResultKind.LOST
    return _classify_reply(outcome)


def rule_for(retry_safety: RetrySafety, outcome: AttemptResult) -> RetryRule:
    """Return the rule for a result of a request."""
    return RULES_BY_RETRY_SAFETY[retry_safety][classify(outcome)]


def describe_result(outcome: AttemptResult) -> str:
    """Return a short description of a result, for logs."""
    kind = classify(outcome).value
    if isinstance(outcome, Reply):
        return f'{kind} with {outcome.status}'
    return f'{kind}: {outcome.reason.value} {outcome.detail}'.rstrip()


def _classify_reply(reply: Reply) -> ResultKind:
    if reply.is_success:
        return ResultKind.SUCCESS
    if not reply.has_run:
        return ResultKind.REFUSED
    if HTTP_CLIENT_ERROR <= reply.status < HTTP_SERVER_ERROR:
        return ResultKind.REJECTED
    return ResultKind.FAILED
