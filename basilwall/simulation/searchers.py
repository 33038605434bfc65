"""A model of one searcher: slots, a queue, pauses, and what befalls it."""

import math
import random
from abc import ABC, abstractmethod
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum
from functools import partial

from basilwall.records.searcher import Searcher
from basilwall.simulation.shapes import Trouble, TroubleKind
from basilwall.simulation.virtual_time import VirtualTime

#: Spread of work times, as the standard deviation of their logarithm.
WORK_SPREAD = 0.35
#: One request in so many takes longer, by this factor.
TAIL_SHARE = 0.01
TAIL_FACTOR = 5
SLOWEST = 1.2
FASTEST = 0.85


class JobEnd(Enum):
    """What becomes of a request at a searcher."""

    ANSWERED = 'answered'
    #: It ran, and failed.
    FAILED = 'failed'
    #: It did not run.
    REFUSED = 'refused'
    #: Its connection ended.
    CUT = 'cut'


class Job(ABC):
    """One request at a searcher.

    `work` is the mean time that it takes of a slot, in seconds.
    """

    work: float

    @abstractmethod
    def end(self, how: JobEnd) -> None:
        """Take what became of it; called at most once."""


@dataclass(frozen=True, slots=True)
class Pauses:
    """When a searcher stands still: `length` seconds in each `every`."""

    length: float
    every: float
    phase: float

    def end_of(self, start: float, work: float) -> float:
        """Return when work that begins at `start` ends, in seconds."""
        now = start
        while True:
            in_cycle = math.fmod(now + self.phase, self.every)
            if in_cycle < self.length:
                now += self.length - in_cycle
                in_cycle = self.length
            room = self.every - in_cycle
            if work <= room:
                return now + work
            work -= room
            now += room


class ModelSearcher:
    """One searcher; its jobs wait in the order in which they came."""

    def __init__(
        self,
        listed: Searcher,
        time: VirtualTime,
        source: random.Random,
        pauses: Pauses,
        queue: int,
    ) -> None:
        self.listed = listed
        self.troubles: Sequence[Trouble] = ()
        self._time = time
        self._source = source
        self._pauses = pauses
        self._queue = queue
        self._speed = source.uniform(FASTEST, SLOWEST)
        self._running: set[Job] = set()
        self._waiting: deque[Job] = deque()

    @property
    def is_down(self) -> bool:
        """True while it accepts no connection."""
        return self._struck_by(TroubleKind.DOWN)

    def arrive(self, job: Job) -> None:
        """Take a request, or turn it away."""
        if self.is_down:
            job.end(JobEnd.CUT)
        elif not self._struck_by(TroubleKind.SILENT):
            self._admit(job)

    def cancel(self, job: Job) -> None:
        """Drop a request whose connection was closed."""
        if job in self._running:
            self._running.remove(job)
            self._begin_next()
        elif job in self._waiting:
            self._waiting.remove(job)

    def _admit(self, job: Job) -> None:
        is_full = len(self._waiting) >= self._queue
        if is_full or self._struck_by(TroubleKind.SHED):
            job.end(JobEnd.REFUSED)
        elif len(self._running) < self.listed.slots:
            self._begin(job)
        else:
            self._waiting.append(job)

    def _begin(self, job: Job) -> None:
        self._running.add(job)
        now = self._time.monotonic()
        ends_at = self._pauses.end_of(now, self._work(job, now))
        self._time.at(ends_at, partial(self._finish, job))

    def _begin_next(self) -> None:
        if self._waiting:
            self._begin(self._waiting.popleft())

    def _finish(self, job: Job) -> None:
        if job not in self._running:
            return
        self._running.remove(job)
        self._begin_next()
        if self.is_down:
            job.end(JobEnd.CUT)
        elif self._struck_by(TroubleKind.FAIL):
            job.end(JobEnd.FAILED)
        else:
            job.end(JobEnd.ANSWERED)

    def _work(self, job: Job, now: float) -> float:
        # The mean of such a draw is 1.
        drawn = self._source.lognormvariate(-(WORK_SPREAD**2) / 2, WORK_SPREAD)
        if self._source.random() < TAIL_SHARE:
            drawn *= TAIL_FACTOR
        for trouble in self._now_under(TroubleKind.SLOW, now):
            drawn *= trouble.strength
        return job.work * self._speed * drawn

    def _struck_by(self, kind: TroubleKind) -> bool:
        """Return whether trouble of a kind strikes now; each call draws."""
        now = self._time.monotonic()
        return any(
            self._source.random() < trouble.strength
            for trouble in self._now_under(kind, now)
        )

    def _now_under(self, kind: TroubleKind, now: float) -> list[Trouble]:
        return [
            trouble
            for trouble in self.troubles
            if trouble.kind is kind and trouble.begins <= now < trouble.ends
        ]
