"""When a caller should come back, spread so that callers don't come at once."""

import random
from dataclasses import replace

from basilwall.records.order import OrderOutcome, OrderReason, OrderState

DEFAULT_MS = 500
#: An owner that can't be reached, or has restarted, is not back at once.
_MS_BY_REASON = {
    OrderReason.OWNER_UNREACHABLE: 1000,
    OrderReason.OWNER_RESTARTED: 2000,
    OrderReason.EXPIRED: 2000,
}
#: The advice is drawn between these shares of its mean.
LEAST_SHARE = 0.5
MOST_SHARE = 1.5
_NOTHING_TO_WAIT_FOR = frozenset((OrderState.RAN, OrderState.REJECTED))


def advised(outcome: OrderOutcome, source: random.Random) -> OrderOutcome:
    """Return the outcome with the time after which to come back.

    Args:
        outcome: What the caller is told; a searcher's own advice is the
            least that is advised.
        source: Where the spread is drawn from.

    Returns:
        The outcome, as it was if coming back makes no difference.
    """
    if outcome.state in _NOTHING_TO_WAIT_FOR:
        return outcome
    mean = _MS_BY_REASON.get(outcome.reason, DEFAULT_MS)
    drawn = int(mean * source.uniform(LEAST_SHARE, MOST_SHARE))
    return replace(
        outcome,
        retry_after_ms=max(drawn, outcome.retry_after_ms),
    )
