"""What this VM has seen of one searcher, and what an attempt at it would take.

The expected time is the round trip to its availability zone, its own work
time as it was seen, and what is queued in front. A searcher that owes a reply
for much longer than usual is stuck: it is passed over after one late reply,
not after many, and counts again with the first reply that comes.
"""

import itertools
import math
import threading

from basilwall.parts.clock import Clock
from basilwall.records.searcher import Searcher

#: Weight of the newest work time in the smoothed one.
SMOOTHING_FACTOR = 0.3
#: One sample counts as at most this many times the smoothed time, so that a
#: single pause does not make a searcher look slow.
MAX_SAMPLE_GROWTH = 3.0
#: Work time assumed before the first reply, in seconds.
INITIAL_WORK_SECONDS = 0.008
MIN_WORK_SECONDS = 0.001
#: What was seen of a searcher is half forgotten after this time, in seconds.
WORK_HALF_LIFE_SECONDS = 2.0
#: A reply is overdue after this many work times and this long, in seconds.
OVERDUE_WORK_FACTOR = 3.0
OVERDUE_SLACK_SECONDS = 0.012
#: Added to the expected time of a searcher that is stuck, in seconds.
STUCK_PENALTY_SECONDS = 0.25
#: A stuck searcher is tried again after this time, in seconds.
STUCK_RETRY_SECONDS = 1.0
#: Added while a searcher refuses, in seconds.
BACKOFF_PENALTY_SECONDS = 5.0
INITIAL_BACKOFF_SECONDS = 0.1
MAX_BACKOFF_SECONDS = 2.0
#: A searcher that has just started takes this many times as long.
COLD_FACTOR = 1.6
#: Weight of the newest attempt in the share of those that failed.
FAILURE_SMOOTHING_FACTOR = 0.25
#: That share is half forgotten after this time, in seconds.
FAILURE_HALF_LIFE_SECONDS = 3.0
#: What a failed attempt costs its request, in seconds: another one, which the
#: budget may not allow.
FAILURE_COST = 0.3


class DecayingFailureRate:
    """The share of attempts that failed lately, forgotten as time goes by."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._rate: float = 0
        self._recorded_at = clock.monotonic()

    def current(self) -> float:
        """Return the share, from 0 to 1."""
        if not self._rate:
            return 0
        age = self._clock.monotonic() - self._recorded_at
        return self._rate * math.pow(2, -age / FAILURE_HALF_LIFE_SECONDS)

    def record(self, failed: int) -> None:
        """Count one attempt; `failed` is 1 if it failed, else 0."""
        former = self.current()
        self._rate = former + FAILURE_SMOOTHING_FACTOR * (failed - former)
        self._recorded_at = self._clock.monotonic()


class SearcherStats:
    """One searcher as this VM knows it; times are in seconds."""

    def __init__(
        self, searcher: Searcher, clock: Clock, round_trip: float
    ) -> None:
        self.searcher = searcher
        self.round_trip = round_trip
        self.last_reply_at = -math.inf
        #: True from a failure until the next reply.
        self.is_failing = False
        self._clock = clock
        self._cold_until = clock.monotonic() + searcher.warmup_seconds
        self._typical_work = INITIAL_WORK_SECONDS
        self._recent_work = INITIAL_WORK_SECONDS
        self._sampled_at = clock.monotonic()
        self._backoff_until = -math.inf
        self._backoff = INITIAL_BACKOFF_SECONDS
        self._stuck_since = -math.inf
        self._failure_rate = DecayingFailureRate(clock)
        self._numbers = itertools.count()
        self._sent_at_by_number: dict[int, float] = {}
        self._lock = threading.Lock()

    @property
    def in_flight(self) -> int:
        """How many attempts of this VM wait for a reply."""
        return len(self._sent_at_by_number)

    @property
    def is_backing_off(self) -> bool:
        """True for a while after a connection failed or was shed."""
        return self._clock.monotonic() < self._backoff_until

    def expected_seconds(self) -> float:
        """Return how long an attempt sent now would take."""
        now = self._clock.monotonic()
        queued = 1 + self.in_flight / self.searcher.slots
        seconds = self.round_trip + self._expected_work(now) * queued
        seconds += self._failure_rate.current() * FAILURE_COST
        if self.is_stuck(now):
            seconds += STUCK_PENALTY_SECONDS
        if now < self._backoff_until:
            seconds += BACKOFF_PENALTY_SECONDS
        return seconds

    def is_stuck(self, now: float) -> bool:
        """Return whether a reply is overdue, or was and none came since."""
        oldest = next(iter(tuple(self._sent_at_by_number.values())), now)
        owed_since = max(oldest, self.last_reply_at)
        patience = (
            self.round_trip
            + self._typical_work * OVERDUE_WORK_FACTOR
            + OVERDUE_SLACK_SECONDS
        )
        if oldest < now and now - owed_since > patience:
            self._stuck_since = now
            return True
        is_recent = now - self._stuck_since < STUCK_RETRY_SECONDS
        return is_recent and self.last_reply_at < self._stuck_since

    def record_sent(self) -> int:
        """Count an attempt; returns the number to end it by."""
        with self._lock:
            number = next(self._numbers)
            self._sent_at_by_number[number] = self._clock.monotonic()
        return number

    def record_ended(self, attempt_number: int) -> None:
        """Count an attempt that is waited for no more."""
        with self._lock:
            self._sent_at_by_number.pop(attempt_number, None)

    def record_reply(self, seconds: float) -> None:
        """Take in a reply that came `seconds` after it was asked for."""
        now = self._clock.monotonic()
        work = max(seconds - self.round_trip, MIN_WORK_SECONDS)
        with self._lock:
            self.last_reply_at = now
            self.is_failing = False
            self._backoff = INITIAL_BACKOFF_SECONDS
            self._backoff_until = -math.inf
            self._failure_rate.record(0)
            self._recent_work = _smooth(self._expected_work(now), work)
            self._typical_work = _smooth(self._typical_work, work)
            self._sampled_at = now

    def record_refusal(self) -> None:
        """Take in that it accepted no connection or had no room."""
        now = self._clock.monotonic()
        self.is_failing = True
        with self._lock:
            self._failure_rate.record(1)
            if now < self._backoff_until:
                return
            self._backoff_until = now + self._backoff
            self._backoff = min(self._backoff * 2, MAX_BACKOFF_SECONDS)

    def record_failure(self) -> None:
        """Take in that it broke off a reply or answered with a failure."""
        self.is_failing = True
        with self._lock:
            self._failure_rate.record(1)
            self._stuck_since = self._clock.monotonic()

    def _expected_work(self, now: float) -> float:
        faded = math.pow(2, (self._sampled_at - now) / WORK_HALF_LIFE_SECONDS)
        work = (
            INITIAL_WORK_SECONDS
            + (self._recent_work - INITIAL_WORK_SECONDS) * faded
        )
        if self._recent_work < INITIAL_WORK_SECONDS:
            work = self._recent_work
        return work * COLD_FACTOR if now < self._cold_until else work


def _smooth(former: float, newest: float) -> float:
    counted = min(newest, former * MAX_SAMPLE_GROWTH)
    return former + SMOOTHING_FACTOR * (counted - former)
