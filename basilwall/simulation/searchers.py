"""Model of a searcher: slots, a queue, pauses and injected faults."""

import math
import random
from abc import ABC, abstractmethod
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum
from functools import partial

from basilwall.records.searcher import Searcher
from basilwall.simulation.scenarios import Fault, FaultKind
from basilwall.simulation.virtual_time import VirtualTime

#: Standard deviation of the logarithm of service times.
SERVICE_TIME_LOG_STDDEV = 0.35
#: This share of requests takes longer, by `TAIL_FACTOR`.
TAIL_SHARE = 0.01
TAIL_FACTOR = 5
#: Searchers differ in speed: each has a factor on its service times.
MAX_SERVICE_TIME_FACTOR = 1.2
MIN_SERVICE_TIME_FACTOR = 0.85


class JobOutcome(Enum):
    """How a request ended at a searcher."""

    ANSWERED = 'answered'
    #: The request ran and failed.
    FAILED = 'failed'
    #: The request did not run.
    REFUSED = 'refused'
    #: The searcher closed the connection without a reply.
    CONNECTION_CLOSED = 'cut'


class Job(ABC):
    """One request at a searcher.

    `service_time` is the mean time for which it occupies a slot, in seconds.
    """

    service_time: float

    @abstractmethod
    def finish(self, outcome: JobOutcome) -> None:
        """Report how the job ended; called at most once."""


@dataclass(frozen=True, slots=True)
class Pauses:
    """Regular pauses in which a searcher does no work.

    It pauses for the first `duration` of each `interval`; `phase` shifts the
    first interval. All are in seconds.
    """

    duration: float
    interval: float
    phase: float

    def completion_time(self, start: float, service_time: float) -> float:
        """Return when work that starts at `start` ends, in seconds.

        `service_time` is the time that the work takes without pauses.
        """
        now = start
        while True:
            in_cycle = math.fmod(now + self.phase, self.interval)
            if in_cycle < self.duration:
                now += self.duration - in_cycle
                in_cycle = self.duration
            time_to_pause = self.interval - in_cycle
            if service_time <= time_to_pause:
                return now + service_time
            service_time -= time_to_pause
            now += time_to_pause


class ModelSearcher:
    """One searcher with a first-in, first-out queue of jobs.

    At most `max_queued` jobs wait for a slot; further ones are refused.
    """

    def __init__(
        self,
        searcher: Searcher,
        time: VirtualTime,
        rng: random.Random,
        pauses: Pauses,
        max_queued: int,
    ) -> None:
        self.searcher = searcher
        self.faults: Sequence[Fault] = ()
        #: When requests arrived, in monotonic seconds.
        self.arrivals: list[float] = []
        self._time = time
        self._rng = rng
        self._pauses = pauses
        self._max_queued = max_queued
        self._service_time_factor = rng.uniform(
            MIN_SERVICE_TIME_FACTOR, MAX_SERVICE_TIME_FACTOR
        )
        self._running: set[Job] = set()
        self._waiting: deque[Job] = deque()

    @property
    def is_down(self) -> bool:
        """True if a `DOWN` fault applies; draws at each call."""
        return self._is_fault_drawn(FaultKind.DOWN)

    @property
    def rate_limit(self) -> float | None:
        """The limit that replies name, in requests per second, or None."""
        now = self._time.monotonic()
        limits = self._active_faults(FaultKind.LIMIT, now)
        return min((fault.strength for fault in limits), default=None)

    def receive(self, job: Job) -> None:
        """Run, queue or refuse a request; a silent searcher ignores it."""
        self.arrivals.append(self._time.monotonic())
        if self.is_down:
            job.finish(JobOutcome.CONNECTION_CLOSED)
        elif not self._is_fault_drawn(FaultKind.SILENT):
            self._admit(job)

    def cancel(self, job: Job) -> None:
        """Drop a request whose connection was closed."""
        if job in self._running:
            self._running.remove(job)
            self._run_next()
        elif job in self._waiting:
            self._waiting.remove(job)

    def _admit(self, job: Job) -> None:
        is_full = len(self._waiting) >= self._max_queued
        if is_full or self._is_fault_drawn(FaultKind.SHED):
            job.finish(JobOutcome.REFUSED)
        elif len(self._running) < self.searcher.slots:
            self._run(job)
        else:
            self._waiting.append(job)

    def _run(self, job: Job) -> None:
        self._running.add(job)
        now = self._time.monotonic()
        ends_at = self._pauses.completion_time(
            now, self._draw_service_time(job, now)
        )
        self._time.call_at(ends_at, partial(self._finish, job))

    def _run_next(self) -> None:
        if self._waiting:
            self._run(self._waiting.popleft())

    def _finish(self, job: Job) -> None:
        if job not in self._running:
            return
        self._running.remove(job)
        self._run_next()
        if self.is_down:
            job.finish(JobOutcome.CONNECTION_CLOSED)
        elif self._is_fault_drawn(FaultKind.FAIL):
            job.finish(JobOutcome.FAILED)
        else:
            job.finish(JobOutcome.ANSWERED)

    def _draw_service_time(self, job: Job, now: float) -> float:
        # Log-normal with mean 1.
        factor = self._rng.lognormvariate(
            -(SERVICE_TIME_LOG_STDDEV**2) / 2, SERVICE_TIME_LOG_STDDEV
        )
        if self._rng.random() < TAIL_SHARE:
            factor *= TAIL_FACTOR
        for fault in self._active_faults(FaultKind.SLOW, now):
            factor *= fault.strength
        return job.service_time * self._service_time_factor * factor

    def _is_fault_drawn(self, kind: FaultKind) -> bool:
        """Return whether an active fault applies now; draws at each call."""
        now = self._time.monotonic()
        return any(
            self._rng.random() < fault.strength
            for fault in self._active_faults(kind, now)
        )

    def _active_faults(self, kind: FaultKind, now: float) -> list[Fault]:
        return [
            fault
            for fault in self.faults
            if fault.kind is kind and fault.starts_at <= now < fault.ends_at
        ]
