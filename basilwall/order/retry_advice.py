"""Retry-after times for orders, jittered so that retries are spread."""

import random
from dataclasses import replace

from basilwall.records.order import OrderOutcome, OrderReason, OrderState

DEFAULT_RETRY_AFTER_MS = 500
#: An unreachable or restarted owner takes longer to recover.
_RETRY_AFTER_MS_BY_REASON = {
    OrderReason.OWNER_UNREACHABLE: 1000,
    OrderReason.OWNER_RESTARTED: 2000,
    OrderReason.EXPIRED: 2000,
}
#: A retry-after time is drawn between these factors of its mean.
MIN_JITTER_FACTOR = 0.5
MAX_JITTER_FACTOR = 1.5
_STATES_WITHOUT_RETRY = frozenset((OrderState.RAN, OrderState.REJECTED))


def with_retry_after(outcome: OrderOutcome, rng: random.Random) -> OrderOutcome:
    """Return the outcome with the time after which to retry.

    Args:
        outcome: The outcome for the caller; a retry-after time that came
            from a searcher is the minimum.
        rng: Random generator of the jitter.

    Returns:
        The outcome with a retry-after time; RAN and REJECTED are returned
        unchanged, because a retry doesn't change them.
    """
    if outcome.state in _STATES_WITHOUT_RETRY:
        return outcome
    mean_ms = _RETRY_AFTER_MS_BY_REASON.get(
        outcome.reason, DEFAULT_RETRY_AFTER_MS
    )
    jittered_ms = int(
        mean_ms * rng.uniform(MIN_JITTER_FACTOR, MAX_JITTER_FACTOR)
    )
    return replace(
        outcome,
        retry_after_ms=max(jittered_ms, outcome.retry_after_ms),
    )
