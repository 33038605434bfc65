"""How long one query waits, by what its team weighs most.

Both teams hedge after a quantile of the usual latency. One that weighs the
tail takes what it tolerates once a hedge has had its usual time too, or three
times as long as that much of the answer took; one that weighs coverage waits
until the deadline, and hedges again.
"""

import math

from basilwall.document.model import Weighs
from basilwall.query.policy import ServicePolicy
from basilwall.query.progress import PartProgress
from basilwall.records.catalogue import Snapshot

#: A hedge and its answer, each after a hedge delay.
HEDGE_DELAYS_TO_ANSWER = 2
#: What is left may take this many times as long as the tolerated part.
TOLERATED_TIME_FACTOR = 3


class QueryTiming:
    """The times of one query, in monotonic seconds."""

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
        self._delay = policy.hedge.delay
        self._may_end_early = document.weighs is Weighs.TAIL
        self._tolerated = document.tolerated_coverage
        self._parts = len(snapshot.parts)
        self._records = sum(part.records for part in snapshot.parts)
        self._covered = 0
        self._tolerated_after = math.inf
        self._answered_at: list[float] = []

    @property
    def first_hedge_at(self) -> float:
        """When an attempt counts as late."""
        return self._started_at + self._delay

    @property
    def ends_at(self) -> float:
        """When the query ends with what it has by now."""
        if not (self._may_end_early and self._is_tolerated()):
            return self._deadline
        settles_after = min(
            self._delay * HEDGE_DELAYS_TO_ANSWER,
            self._tolerated_after * TOLERATED_TIME_FACTOR,
        )
        return min(self._started_at + settles_after, self._deadline)

    @property
    def answers_needed(self) -> int:
        """How many more answers can change what the query does."""
        if not self._may_end_early:
            return self._parts
        needed = math.ceil(self._parts * self._tolerated)
        return max(needed - len(self._answered_at), 1)

    def next_hedge_at(self, now: float) -> float:
        """Return when a part that is late is looked at again."""
        if self._may_end_early and self.is_overdue(now):
            return self._deadline
        return now + self._delay

    def is_overdue(self, now: float) -> bool:
        """Return whether a part that is open now is far beyond the usual.

        By its definition a twentieth of all attempts are a little late, which
        is about the whole budget: they leave half of it to these.
        """
        overdue_at = self._started_at + self._delay * HEDGE_DELAYS_TO_ANSWER
        return now >= overdue_at

    def note_answer(self, ended_at: float, progress: PartProgress) -> None:
        """Count the answer of a part."""
        self._answered_at.append(ended_at)
        self._covered += progress.covered_count
        self._records += progress.record_count - progress.part.records
        after = ended_at - self._started_at
        # An answer from before the start says nothing of the usual time.
        if after > 0 and self._is_tolerated():
            self._tolerated_after = min(self._tolerated_after, after)

    def note_canary_answer(self, progress: PartProgress) -> None:
        """Count the answer of a part that answered before the start."""
        self.note_answer(self._started_at, progress)

    def half_wait(self, now: float) -> float:
        """Return how long half of the parts took, in seconds.

        Args:
            now: Stands for those that have not answered.
        """
        ordered = sorted(self._answered_at)
        half = (self._parts + 1) // 2
        at = ordered[half - 1] if len(ordered) >= half else now
        return at - self._started_at

    def _is_tolerated(self) -> bool:
        needed = self._tolerated
        if len(self._answered_at) < needed * self._parts:
            return False
        return self._covered >= needed * self._records
