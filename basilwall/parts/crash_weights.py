"""How heavily crashes of searchers weigh against the content that they ran.

A content that crashes searchers is refused for a period after its last crash,
which doubles with each one. It is remembered for another period: if it ends a
searcher then, it is refused for twice as long.
"""

from collections.abc import Sequence
from functools import partial

from basilwall.parts.content_strikes import DatedStrike, total_weight
from basilwall.records.strike import Evidence

#: Weight of the crash of one searcher that died.
CRASH_WEIGHT = 2
#: Total weight that quarantines a content: two searchers that died, or four
#: that only lost the connection.
QUARANTINE_WEIGHT = 4
#: Period after one crash.
ONE_CRASH_SECONDS = 150.0
#: No period is longer.
MAX_PERIOD_SECONDS = 86_400.0
#: A content is remembered for so many periods.
PERIODS_REMEMBERED = 2
#: The longest time for which a content is remembered.
MAX_REMEMBERED_SECONDS = MAX_PERIOD_SECONDS * PERIODS_REMEMBERED
#: Doublings after which the period has reached its maximum.
_MAX_DOUBLINGS = 10

_WEIGHT_BY_EVIDENCE = {
    Evidence.PENDING: 1,
    Evidence.SPARED: 0,
    Evidence.LOST: 1,
    Evidence.DIED: CRASH_WEIGHT,
    Evidence.DOUBTED: 1,
    Evidence.CLEARED: 0,
}


class CrashWeights:
    """Weighs the crashes under one content, by time."""

    def __init__(self, moment_seconds: float) -> None:
        """Make weights.

        Args:
            moment_seconds: Crashes within this time count as one.
        """
        self._moment_seconds = moment_seconds

    def total(self, crashes: Sequence[DatedStrike]) -> int:
        """Return the weight of crashes as far as they are decided."""
        return total_weight(crashes, _weight, self._moment_seconds)

    def expected(self, crashes: Sequence[DatedStrike], now: float) -> int:
        """Return the weight of crashes if all pending strikes prove right."""
        return total_weight(
            crashes, partial(_weight_if_died, now), self._moment_seconds
        )

    def refused_until(
        self, crashes: Sequence[DatedStrike], now: float
    ) -> float:
        """Return when the period after the last decided crash ends."""
        decided = [
            crash.lost_at
            for crash in crashes
            if _weight(crash) and not crash.is_undecided(now)
        ]
        last_at = max(decided, default=float('-inf'))
        return last_at + period_seconds(self.total(crashes))

    def remembered_until(self, crashes: Sequence[DatedStrike]) -> float:
        """Return when the crashes may be forgotten."""
        last_at = max((crash.lost_at for crash in crashes), default=0)
        periods = period_seconds(self.total(crashes)) * PERIODS_REMEMBERED
        return last_at + periods


def period_seconds(weight: int) -> float:
    """Return for how long a content is refused after its last crash.

    Args:
        weight: The total weight of the crashes under it.
    """
    doublings = min(max(weight // CRASH_WEIGHT - 1, 0), _MAX_DOUBLINGS)
    return min(ONE_CRASH_SECONDS * (1 << doublings), MAX_PERIOD_SECONDS)


def _weight(crash: DatedStrike) -> int:
    return _WEIGHT_BY_EVIDENCE[crash.strike.evidence]


def _weight_if_died(now: float, crash: DatedStrike) -> int:
    """Return the weight of a crash if a pending strike proves right."""
    if crash.is_undecided(now):
        return CRASH_WEIGHT
    return _weight(crash)
