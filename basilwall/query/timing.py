"""Hedge times and end time of one query, by the priority in its document.

Every query hedges after a quantile of the usual latency. If the document
prefers tail latency, the query ends with the tolerated coverage as soon as a
hedge has had its usual time, or after three times as long as the tolerated
coverage took. If it prefers coverage, the query waits until the deadline and
hedges repeatedly.
"""

import math

from basilwall.document.model import Weighs
from basilwall.query.policy import ServicePolicy
from basilwall.query.progress import PartProgress
from basilwall.records.catalogue import Snapshot

#: Hedge delays until the answer of a hedge: one before it is sent, one after.
HEDGE_DELAYS_TO_ANSWER = 2
#: A query ends after this multiple of the time that the tolerated coverage
#: took.
TOLERATED_TIME_FACTOR = 3


class QueryTiming:
    """Decides when one query hedges and ends; times are monotonic seconds."""

    def __init__(
        self,
        policy: ServicePolicy,
        started_at: float,
        deadline: float,
        snapshot: Snapshot,
    ) -> None:
        document = policy.document
        self._started_at = started_at
        self._deadline = deadline
        self._hedge_delay = policy.hedge.delay
        self._may_end_early = document.weighs is Weighs.TAIL
        self._tolerated_coverage = document.tolerated_coverage
        self._part_count = len(snapshot.parts)
        self._record_count = sum(part.records for part in snapshot.parts)
        self._covered_count = 0
        self._tolerated_after = math.inf
        self._answered_at: list[float] = []

    @property
    def first_hedge_at(self) -> float:
        """Time of the first hedge of a part that has not answered."""
        return self._started_at + self._hedge_delay

    @property
    def ends_at(self) -> float:
        """Time at which the query ends with the answers that it has."""
        if not (self._may_end_early and self._is_tolerated()):
            return self._deadline
        early_end_after = min(
            self._hedge_delay * HEDGE_DELAYS_TO_ANSWER,
            self._tolerated_after * TOLERATED_TIME_FACTOR,
        )
        return min(self._started_at + early_end_after, self._deadline)

    @property
    def answers_needed(self) -> int:
        """Number of further answers until the query may have to act."""
        if not self._may_end_early:
            return self._part_count
        needed = math.ceil(self._part_count * self._tolerated_coverage)
        return max(needed - len(self._answered_at), 1)

    def next_hedge_at(self, now: float) -> float:
        """Return when the next hedge of a late part is due."""
        if self._may_end_early and self.is_overdue(now):
            return self._deadline
        return now + self._hedge_delay

    def is_overdue(self, now: float) -> bool:
        """Return whether parts that are still open are extremely late.

        At the default quantile a twentieth of all attempts pass the hedge
        delay, which is about the whole retry budget. So hedges of parts that
        are only slightly late leave half of the budget to overdue ones.
        """
        overdue_at = (
            self._started_at + self._hedge_delay * HEDGE_DELAYS_TO_ANSWER
        )
        return now >= overdue_at

    def note_answer(self, ended_at: float, progress: PartProgress) -> None:
        """Record the answer of a part that ended at `ended_at`."""
        self._answered_at.append(ended_at)
        self._covered_count += progress.covered_count
        self._record_count += progress.record_count - progress.part.records
        elapsed = ended_at - self._started_at
        # A canary answer came before the start and has no latency here.
        if elapsed > 0 and self._is_tolerated():
            self._tolerated_after = min(self._tolerated_after, elapsed)

    def note_canary_answer(self, progress: PartProgress) -> None:
        """Record the answer of a part that answered in the canary phase."""
        self.note_answer(self._started_at, progress)

    def median_latency(self, now: float) -> float:
        """Return the time until half of the parts had answered, in seconds.

        Args:
            now: Used if fewer than half of the parts have answered.
        """
        ordered = sorted(self._answered_at)
        half = (self._part_count + 1) // 2
        median_at = ordered[half - 1] if len(ordered) >= half else now
        return median_at - self._started_at

    def _is_tolerated(self) -> bool:
        tolerated = self._tolerated_coverage
        if len(self._answered_at) < tolerated * self._part_count:
            return False
        return self._covered_count >= tolerated * self._record_count
