"""When to send a second attempt: after a quantile of the usual latency.

The quantile is taken over the newest samples, so that a service that becomes
slow as a whole raises its own delay and isn't hedged all over. It is exact:
sorting a window now and then is cheaper than a walk through a histogram. It
never rises above the delay given at the start: when many replicas freeze at
once their time is the quantile, and it is then that a hedge is needed.
"""

import threading
from collections import deque

WINDOW_SAMPLES = 1000
REFRESH_SAMPLES = 100
#: Samples before the quantile replaces the delay given at the start.
FIRST_SAMPLES = 50


class HedgeDelay:
    """The delay after which an attempt counts as late enough to hedge."""

    def __init__(self, quantile: float, initial: float) -> None:
        self._quantile = quantile
        self._delay = initial
        self._ceiling = initial
        self._window: deque[float] = deque(maxlen=WINDOW_SAMPLES)
        self._until_refresh = FIRST_SAMPLES
        self._lock = threading.Lock()

    @property
    def delay(self) -> float:
        """The delay in seconds."""
        return self._delay

    def observe(self, latency: float) -> None:
        """Count the latency, in seconds, of one attempt that answered."""
        with self._lock:
            self._window.append(latency)
            self._until_refresh -= 1
            if self._until_refresh == 0:
                self._until_refresh = REFRESH_SAMPLES
                self._refresh()

    def _refresh(self) -> None:
        ordered = sorted(self._window)
        found = ordered[int(len(ordered) * self._quantile)]
        self._delay = min(found, self._ceiling)
