"""Whether a query that ended shows that the searchers have too much to do.

A straggler or a lost replica makes a query late and is no reason to take in
less. So the time by which half of the parts had answered decides, and not
the time of the whole.
"""

from basilwall.document.model import Document
from basilwall.records.answer import (
    Coverage,
    MissingReason,
    QueryAnswer,
    Refusal,
    RefusalReason,
)

#: Half of the parts should answer within this share of the deadline.
CONGESTION_SHARE = 0.5
MS_PER_SECOND = 1000


def is_congested(
    outcome: QueryAnswer | Refusal,
    document: Document,
) -> bool:
    """Return whether the searchers of a query had too much to do.

    Args:
        outcome: How the query ended.
        document: The document in force; its deadline is the measure.

    Returns:
        True if a part was shed for good, or most of them were slow.
    """
    if isinstance(outcome, QueryAnswer):
        allowed = document.deadline_ms / MS_PER_SECOND
        slow = outcome.median_latency > allowed * CONGESTION_SHARE
        return slow or _was_shed(outcome.coverage)
    coverage = outcome.coverage
    if outcome.reason is not RefusalReason.LOW_COVERAGE or coverage is None:
        return False
    return coverage.fraction < CONGESTION_SHARE or _was_shed(coverage)


def _was_shed(coverage: Coverage) -> bool:
    return any(
        part.reason is MissingReason.OVERLOADED for part in coverage.missing
    )
