"""Retry-after times for callers that were refused.

The time follows the current ratio of refused to admitted requests: if as many
are refused as admitted, the same callers fit into twice the time. Jitter keeps
callers that were refused together from returning together.
"""

import random
import threading
from collections import deque

from basilwall.parts.clock import Clock

#: Time over which requests are counted.
WINDOW_SECONDS = 1.0
#: Shortest wait before jitter.
MIN_WAIT_SECONDS = 0.1
MAX_WAIT_SECONDS = 10.0
MIN_JITTER_FACTOR = 0.5
MAX_JITTER_FACTOR = 1.5
MAX_SAMPLES = 4096


class RetryAfter:
    """Computes retry-after times from the requests of the last second."""

    def __init__(self, clock: Clock, rng: random.Random) -> None:
        self._clock = clock
        self._rng = rng
        self._admitted: deque[float] = deque(maxlen=MAX_SAMPLES)
        self._refused: deque[float] = deque(maxlen=MAX_SAMPLES)
        self._lock = threading.Lock()

    def record_admitted(self) -> None:
        """Count an admitted request."""
        self._admitted.append(self._clock.monotonic())

    def record_refused(self) -> float:
        """Count a refused request.

        Returns:
            The time after which its caller may retry, in seconds.
        """
        now = self._clock.monotonic()
        self._refused.append(now)
        with self._lock:
            admitted_count = _count_recent(self._admitted, now)
            refused_count = _count_recent(self._refused, now)
        wait_seconds = MIN_WAIT_SECONDS + WINDOW_SECONDS * refused_count / max(
            admitted_count, 1
        )
        jitter_factor = self._rng.uniform(MIN_JITTER_FACTOR, MAX_JITTER_FACTOR)
        return min(wait_seconds, MAX_WAIT_SECONDS) * jitter_factor


def _count_recent(times: deque[float], now: float) -> int:
    while times and times[0] < now - WINDOW_SECONDS:
        times.popleft()
    return len(times)
