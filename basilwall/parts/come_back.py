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
WINDOW = 1.0
#: The wait when nothing else was refused, in seconds.
SHORTEST = 0.1
LONGEST = 10.0
LOWEST_SPREAD = 0.5
HIGHEST_SPREAD = 1.5
MAX_COUNTED = 4096


class ComeBack:
    """Counts what was let in and refused lately, and spreads the rest."""

    def __init__(self, clock: Clock, source: random.Random) -> None:
        self._clock = clock
        self._source = source
        self._admitted: deque[float] = deque(maxlen=MAX_COUNTED)
        self._refused: deque[float] = deque(maxlen=MAX_COUNTED)
        self._lock = threading.Lock()

    def admitted(self) -> None:
        """Count a request that was let in."""
        self._admitted.append(self._clock.monotonic())

    def refused(self) -> float:
        """Count a refusal.

        Returns:
            When its caller may come back, in seconds from now.
        """
        now = self._clock.monotonic()
        self._refused.append(now)
        with self._lock:
            let_in = _count(self._admitted, now)
            refused = _count(self._refused, now)
        wait = SHORTEST + WINDOW * refused / max(let_in, 1)
        spread = self._source.uniform(LOWEST_SPREAD, HIGHEST_SPREAD)
        return min(wait, LONGEST) * spread


def _count(times: deque[float], now: float) -> int:
    while times and times[0] < now - WINDOW:
        times.popleft()
    return len(times)
