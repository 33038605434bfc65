"""Statistics of one searcher, and the expected time of an attempt at it.

The expected time is the round trip to its availability zone plus its measured
work time, scaled by the requests in flight. A searcher whose oldest reply is
overdue counts as stuck: one late reply is enough to avoid it, and the next
reply from it ends that state.
"""

import itertools
import math
import threading

from basilwall.parts.clock import Clock
from basilwall.records.searcher import Searcher

#: Weight of the latest work time in the moving average.
SMOOTHING_FACTOR = 0.3
#: Samples are capped at this multiple of the moving average, so that a single
#: pause does not make a searcher look slow.
MAX_SAMPLE_GROWTH = 3.0
#: Work time assumed before the first reply.
INITIAL_WORK_SECONDS = 0.008
MIN_WORK_SECONDS = 0.001
#: Without replies, a raised work time decays to its initial value by half in
#: this time.
WORK_HALF_LIFE_SECONDS = 2.0
#: A reply is overdue after a round trip, this many work times and this slack.
OVERDUE_WORK_FACTOR = 3.0
OVERDUE_SLACK_SECONDS = 0.012
#: Added to the expected time of a stuck searcher.
STUCK_PENALTY_SECONDS = 0.25
#: A stuck searcher is tried again after this time.
STUCK_RETRY_SECONDS = 1.0
#: Added to the expected time during the backoff after a refusal.
BACKOFF_PENALTY_SECONDS = 5.0
INITIAL_BACKOFF_SECONDS = 0.1
MAX_BACKOFF_SECONDS = 2.0
#: A searcher that accepts no connection gets no request during its backoff,
#: nor for longer than this: the next request probes whether it is back.
MAX_DOWN_SECONDS = 1.0
#: Work takes this many times as long while a searcher warms up.
COLD_FACTOR = 1.6
#: Weight of the latest attempt in the failure rate.
FAILURE_SMOOTHING_FACTOR = 0.25
#: Without further attempts, the failure rate halves in this time.
FAILURE_HALF_LIFE_SECONDS = 3.0
#: Cost of a failed attempt, in seconds: it takes a retry, which the budget may
#: not allow.
FAILURE_COST = 0.3


class DecayingFailureRate:
    """Moving average of failed attempts that decays over time."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._rate: float = 0
        self._recorded_at = clock.monotonic()

    def current(self) -> float:
        """Return the failure rate, from 0 to 1."""
        if not self._rate:
            return 0
        age = self._clock.monotonic() - self._recorded_at
        return self._rate * math.pow(2, -age / FAILURE_HALF_LIFE_SECONDS)

    def record(self, failed: int) -> None:
        """Record an attempt; `failed` is 1 if it failed, else 0."""
        previous = self.current()
        self._rate = previous + FAILURE_SMOOTHING_FACTOR * (failed - previous)
        self._recorded_at = self._clock.monotonic()


class SearcherStats:
    """What this VM measured of one searcher; times are in seconds."""

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
        self._rest_until = -math.inf
        self._down_until = -math.inf
        self._stuck_since = -math.inf
        self._failure_rate = DecayingFailureRate(clock)
        self._attempt_numbers = itertools.count()
        self._sent_at_by_number: dict[int, float] = {}
        self._lock = threading.Lock()

    @property
    def is_backing_off(self) -> bool:
        """True during the backoff after a failed connection or a refusal."""
        return self._clock.monotonic() < self._backoff_until

    @property
    def rest_seconds_left(self) -> float:
        """For how much longer it wants no request of this VM, in seconds."""
        return max(self._rest_until - self._clock.monotonic(), 0)

    def down_seconds_left(self, now: float) -> float:
        """Return for how much longer it is taken to be down, in seconds."""
        return max(self._down_until - now, 0)

    def expected_seconds(self, now: float) -> float:
        """Return how long an attempt that is sent now is expected to take."""
        in_flight = len(self._sent_at_by_number)
        queue_factor = 1 + in_flight / self.searcher.slots
        seconds = self.round_trip + self.expected_work(now) * queue_factor
        seconds += self._failure_rate.current() * FAILURE_COST
        if self.is_stuck(now):
            seconds += STUCK_PENALTY_SECONDS
        if now < self._backoff_until:
            seconds += BACKOFF_PENALTY_SECONDS
        return seconds

    def expected_work(self, now: float) -> float:
        """Return how long it works on an attempt that is sent now."""
        decay = math.pow(2, (self._sampled_at - now) / WORK_HALF_LIFE_SECONDS)
        work = (
            INITIAL_WORK_SECONDS
            + (self._recent_work - INITIAL_WORK_SECONDS) * decay
        )
        if self._recent_work < INITIAL_WORK_SECONDS:
            work = self._recent_work
        return work * COLD_FACTOR if now < self._cold_until else work

    def is_stuck(self, now: float) -> bool:
        """Return whether a reply is overdue, or was and none has come since."""
        if not self._sent_at_by_number and self._stuck_since == -math.inf:
            return False
        oldest = next(iter(tuple(self._sent_at_by_number.values())), now)
        waiting_since = max(oldest, self.last_reply_at)
        overdue_after = (
            self.round_trip
            + self._typical_work * OVERDUE_WORK_FACTOR
            + OVERDUE_SLACK_SECONDS
        )
        if oldest < now and now - waiting_since > overdue_after:
            self._stuck_since = now
            return True
        is_recent = now - self._stuck_since < STUCK_RETRY_SECONDS
        return is_recent and self.last_reply_at < self._stuck_since

    def record_sent(self) -> int:
        """Record that an attempt was sent and return its number."""
        with self._lock:
            attempt_number = next(self._attempt_numbers)
            self._sent_at_by_number[attempt_number] = self._clock.monotonic()
        return attempt_number

    def record_ended(self, attempt_number: int) -> None:
        """Record that an attempt is no longer in flight."""
        with self._lock:
            self._sent_at_by_number.pop(attempt_number, None)

    def record_reply(self, seconds: float) -> None:
        """Record a reply that came `seconds` after its attempt was sent."""
        now = self._clock.monotonic()
        work = max(seconds - self.round_trip, MIN_WORK_SECONDS)
        with self._lock:
            self.last_reply_at = now
            self.is_failing = False
            self._backoff = INITIAL_BACKOFF_SECONDS
            self._backoff_until = -math.inf
            self._down_until = -math.inf
            self._failure_rate.record(0)
            self._recent_work = _smooth(self.expected_work(now), work)
            self._typical_work = _smooth(self._typical_work, work)
            self._sampled_at = now

    def record_refusal(self) -> None:
        """Record that it did not accept a connection or refused a request."""
        now = self._clock.monotonic()
        self.is_failing = True
        with self._lock:
            self._failure_rate.record(1)
            if now < self._backoff_until:
                return
            self._backoff_until = now + self._backoff
            self._backoff = min(self._backoff * 2, MAX_BACKOFF_SECONDS)

    def record_connect_failure(self) -> None:
        """Record that it accepted no connection; it is taken to be down."""
        self.record_refusal()
        now = self._clock.monotonic()
        with self._lock:
            down_seconds = min(self._backoff_until - now, MAX_DOWN_SECONDS)
            self._down_until = now + down_seconds

    def record_rest(self, seconds: float) -> None:
        """Record that it wants no request of this VM for some time."""
        rest_until = self._clock.monotonic() + seconds
        with self._lock:
            self._rest_until = max(self._rest_until, rest_until)

    def record_failure(self) -> None:
        """Record that its reply was lost or reported a failure."""
        self.is_failing = True
        with self._lock:
            self._failure_rate.record(1)
            self._stuck_since = self._clock.monotonic()


def _smooth(previous: float, sample: float) -> float:
    capped = min(sample, previous * MAX_SAMPLE_GROWTH)
    return previous + SMOOTHING_FACTOR * (capped - previous)
