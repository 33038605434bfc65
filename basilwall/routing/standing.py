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
SMOOTHING = 0.3
#: One sample counts as at most this many times the smoothed time, so that a
#: single pause does not make a searcher look slow.
MOST_GROWTH = 3.0
#: Work time assumed before the first reply, in seconds.
FIRST_WORK = 0.008
LEAST_WORK = 0.001
#: What was seen of a searcher is half forgotten after this time, in seconds.
HALF_LIFE = 2.0
#: A reply is overdue after this many work times and this long, in seconds.
OVERDUE_TIMES = 3.0
OVERDUE_SLACK = 0.012
#: Added to the expected time of a searcher that is stuck, in seconds.
STUCK_PENALTY = 0.25
#: A stuck searcher is tried again after this time, in seconds.
STUCK_FOR = 1.0
#: Added while a searcher refuses, in seconds.
REFUSING_PENALTY = 5.0
FIRST_BACKOFF = 0.1
HIGHEST_BACKOFF = 2.0
#: A searcher that has just started takes this many times as long.
COLD_FACTOR = 1.6
#: Weight of the newest attempt in the share of those that failed.
FAILURE_SMOOTHING = 0.25
#: That share is half forgotten after this time, in seconds.
FAILURE_HALF_LIFE = 3.0
#: What a failed attempt costs its request, in seconds: another one, which the
#: budget may not allow.
FAILURE_COST = 0.3


class FadingShare:
    """The share of attempts that failed lately, forgotten as time goes by."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._share: float = 0
        self._counted_at = clock.monotonic()

    def now(self) -> float:
        """Return the share, from 0 to 1."""
        if not self._share:
            return 0
        age = self._clock.monotonic() - self._counted_at
        return self._share * math.pow(2, -age / FAILURE_HALF_LIFE)

    def count(self, failed: int) -> None:
        """Count one attempt; `failed` is 1 if it failed, else 0."""
        former = self.now()
        self._share = former + FAILURE_SMOOTHING * (failed - former)
        self._counted_at = self._clock.monotonic()


class Standing:
    """One searcher as this VM knows it; times are in seconds."""

    def __init__(self, searcher: Searcher, clock: Clock, trip: float) -> None:
        self.searcher = searcher
        self.trip = trip
        self.last_reply_at = -math.inf
        #: True from a failure until the next reply.
        self.is_failing = False
        self._clock = clock
        self._cold_until = clock.monotonic() + searcher.cold_for
        self._usual_work = FIRST_WORK
        self._work = FIRST_WORK
        self._sampled_at = clock.monotonic()
        self._refused_until = -math.inf
        self._backoff = FIRST_BACKOFF
        self._stuck_since = -math.inf
        self._failures = FadingShare(clock)
        self._numbers = itertools.count()
        self._sent_at_by_number: dict[int, float] = {}
        self._lock = threading.Lock()

    @property
    def in_flight(self) -> int:
        """How many attempts of this VM wait for a reply."""
        return len(self._sent_at_by_number)

    @property
    def is_refusing(self) -> bool:
        """True for a while after a connection failed or was shed."""
        return self._clock.monotonic() < self._refused_until

    def expected(self) -> float:
        """Return how long an attempt sent now would take."""
        now = self._clock.monotonic()
        queued = 1 + self.in_flight / self.searcher.slots
        seconds = self.trip + self._faded_work(now) * queued
        seconds += self._failures.now() * FAILURE_COST
        if self.is_stuck(now):
            seconds += STUCK_PENALTY
        if now < self._refused_until:
            seconds += REFUSING_PENALTY
        return seconds

    def is_stuck(self, now: float) -> bool:
        """Return whether a reply is overdue, or was and none came since."""
        oldest = next(iter(tuple(self._sent_at_by_number.values())), now)
        owed_since = max(oldest, self.last_reply_at)
        patience = self.trip + self._usual_work * OVERDUE_TIMES + OVERDUE_SLACK
        if oldest < now and now - owed_since > patience:
            self._stuck_since = now
            return True
        is_recent = now - self._stuck_since < STUCK_FOR
        return is_recent and self.last_reply_at < self._stuck_since

    def sent(self) -> int:
        """Count an attempt; returns the number to end it by."""
        with self._lock:
            number = next(self._numbers)
            self._sent_at_by_number[number] = self._clock.monotonic()
        return number

    def ended(self, number: int) -> None:
        """Count an attempt that is waited for no more."""
        with self._lock:
            self._sent_at_by_number.pop(number, None)

    def replied(self, seconds: float) -> None:
        """Take in a reply that came `seconds` after it was asked for."""
        now = self._clock.monotonic()
        work = max(seconds - self.trip, LEAST_WORK)
        with self._lock:
            self.last_reply_at = now
            self.is_failing = False
            self._backoff = FIRST_BACKOFF
            self._refused_until = -math.inf
            self._failures.count(0)
            self._work = _smoothed(self._faded_work(now), work)
            self._usual_work = _smoothed(self._usual_work, work)
            self._sampled_at = now

    def refused(self) -> None:
        """Take in that it accepted no connection or had no room."""
        now = self._clock.monotonic()
        self.is_failing = True
        with self._lock:
            self._failures.count(1)
            if now < self._refused_until:
                return
            self._refused_until = now + self._backoff
            self._backoff = min(self._backoff * 2, HIGHEST_BACKOFF)

    def failed(self) -> None:
        """Take in that it broke off a reply or answered with a failure."""
        self.is_failing = True
        with self._lock:
            self._failures.count(1)
            self._stuck_since = self._clock.monotonic()

    def _faded_work(self, now: float) -> float:
        faded = math.pow(2, (self._sampled_at - now) / HALF_LIFE)
        work = FIRST_WORK + (self._work - FIRST_WORK) * faded
        if self._work < FIRST_WORK:
            work = self._work
        return work * COLD_FACTOR if now < self._cold_until else work


def _smoothed(former: float, newest: float) -> float:
    counted = min(newest, former * MOST_GROWTH)
    return former + SMOOTHING * (counted - former)
