"""Table of what follows each outcome of an attempt.

Only this table decides whether an outcome allows a retry. An order is retried
only if the outcome proves that it did not run.
"""

from dataclasses import dataclass

from basilwall.records.answer import MissingReason
from basilwall.records.attempt import OutcomeTag, RequestKind


@dataclass(frozen=True, slots=True)
class OutcomeRule:
    """Consequences of one outcome for one kind of request.

    `missing_reason` is the reason given for the part if it stays missing.
    """

    may_retry: bool
    blames_searcher: bool
    blames_request: bool
    missing_reason: MissingReason


# The arguments are may_retry, blames_searcher, blames_request and
# missing_reason.
_QUERY_RULES = {
    OutcomeTag.NOT_SENT: OutcomeRule(
        True, True, False, MissingReason.NO_SEARCHER
    ),
    OutcomeTag.SHED: OutcomeRule(True, False, False, MissingReason.OVERLOADED),
    OutcomeTag.LEAVING: OutcomeRule(
        True, True, False, MissingReason.NO_SEARCHER
    ),
    OutcomeTag.WRONG_SNAPSHOT: OutcomeRule(
        True,
        False,
        False,
        MissingReason.WRONG_SNAPSHOT,
    ),
    OutcomeTag.LATE: OutcomeRule(False, True, False, MissingReason.DEADLINE),
    OutcomeTag.LOST: OutcomeRule(True, True, True, MissingReason.LOST),
    OutcomeTag.REJECTED: OutcomeRule(False, False, True, MissingReason.LOST),
}

_ORDER_RULES = {
    **_QUERY_RULES,
    OutcomeTag.LATE: OutcomeRule(False, True, False, MissingReason.DEADLINE),
    OutcomeTag.LOST: OutcomeRule(False, True, True, MissingReason.LOST),
}

RULE_BY_KIND_AND_TAG = {
    (kind, tag): rule
    for kind, rules in (
        (RequestKind.IDEMPOTENT, _QUERY_RULES),
        (RequestKind.NON_IDEMPOTENT, _ORDER_RULES),
    )
    for tag, rule in rules.items()
}
