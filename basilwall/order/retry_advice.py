"""When a caller should come back, spread so that callers don't come at once."""

import random
from dataclasses import replace

from basilwall.records.order import OrderOutcome, OrderReason, OrderState

DEFAULT_RETRY_AFTER_MS = 500
#: An owner that can't be reached, or has restarted, is not back at once.
_RETRY_AFTER_MS_BY_REASON = {
    OrderReason.OWNER_UNREACHABLE: 1000,
    OrderReason.OWNER_RESTARTED: 2000,
    OrderReason.EXPIRED: 2000,
}
#: The advice is drawn between these shares of its mean.
MIN_JITTER_FACTOR = 0.5
MAX_JITTER_FACTOR = 1.5
_FINAL_STATES = frozenset((OrderState.RAN, OrderState.REJECTED))


def with_retry_after(outcome: OrderOutcome, rng: random.Random) -> OrderOutcome:
    """Return the outcome with the time after which to come back.

    Args:
        outcome: What the caller is told; a searcher's own advice is the
            least that is advised.
        rng: Where the spread is drawn from.

    Returns:
        The outcome, as it was if coming back makes no difference.
    """
    if outcome.state in _FINAL_STATES:
        return outcome
    mean = _RETRY_AFTER_MS_BY_REASON.get(outcome.reason, DEFAULT_RETRY_AFTER_MS)
    drawn = int(mean * rng.uniform(MIN_JITTER_FACTOR, MAX_JITTER_FACTOR))
    return replace(
        outcome,
        retry_after_ms=max(drawn, outcome.retry_after_ms),
    )
