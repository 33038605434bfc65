"""When a caller that was refused may come back.

The time follows the load of the moment: with as many refused as let in, the
same callers fit in over twice the time. It is drawn at random around that,
so that callers refused together don't return together.
"""

import random
import threading
from collections import deque

from basilwall.parts.clock import Clock

#: Time over which arrivals are counted, in seconds.
WINDOW_SECONDS = 1.0
#: The wait when nothing else was refused, in seconds.
MIN_WAIT_SECONDS = 0.1
MAX_WAIT_SECONDS = 10.0
MIN_JITTER_FACTOR = 0.5
MAX_JITTER_FACTOR = 1.5
MAX_SAMPLES = 4096


class RetryAfter:
    """Counts what was let in and refused lately, and spreads the rest."""

    def __init__(self, clock: Clock, rng: random.Random) -> None:
        self._clock = clock
        self._source = rng
        self._admitted: deque[float] = deque(maxlen=MAX_SAMPLES)
        self._refused: deque[float] = deque(maxlen=MAX_SAMPLES)
        self._lock = threading.Lock()

    def record_admitted(self) -> None:
        """Count a request that was let in."""
        self._admitted.append(self._clock.monotonic())

    def record_refused(self) -> float:
        """Count a refusal.

        Returns:
            When its caller may come back, in seconds from now.
        """
        now = self._clock.monotonic()
        self._refused.append(now)
        with self._lock:
            let_in = _count(self._admitted, now)
            refused = _count(self._refused, now)
        wait = MIN_WAIT_SECONDS + WINDOW_SECONDS * refused / max(let_in, 1)
        spread = self._source.uniform(MIN_JITTER_FACTOR, MAX_JITTER_FACTOR)
        return min(wait, MAX_WAIT_SECONDS) * spread


def _count(times: deque[float], now: float) -> int:
    while times and times[0] < now - WINDOW_SECONDS:
        times.popleft()
    return len(times)
