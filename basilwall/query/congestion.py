"""Detects from a finished query whether the searchers are overloaded.

A single slow or lost replica delays a query without any overload. So the time
until half of the shards had answered is compared, not the total time.
"""

from basilwall.document.model import Document
from basilwall.records.answer import (
    Coverage,
    MissingReason,
    QueryAnswer,
    Refusal,
    RefusalReason,
)

#: Half of the shards should answer within this share of the deadline.
CONGESTION_SHARE = 0.5
MS_PER_SECOND = 1000


def is_congested(
    outcome: QueryAnswer | Refusal,
    document: Document,
) -> bool:
    """Return whether the searchers of a query were overloaded.

    Args:
        outcome: How the query ended.
        document: The document in force, which sets the deadline.

    Returns:
        True if a shard finally shed the query, or if more than half of the
        shards were slow or missing.
    """
    if isinstance(outcome, QueryAnswer):
        deadline_seconds = document.deadline_ms / MS_PER_SECOND
        is_slow = outcome.median_latency > deadline_seconds * CONGESTION_SHARE
        return is_slow or _was_shed(outcome.coverage)
    coverage = outcome.coverage
    if outcome.reason is not RefusalReason.LOW_COVERAGE or coverage is None:
        return False
    return coverage.fraction < CONGESTION_SHARE or _was_shed(coverage)


def _was_shed(coverage: Coverage) -> bool:
    return any(
        part.reason is MissingReason.OVERLOADED for part in coverage.missing
    )
