"""Hedge delay: a quantile of the recent latency of a service.

The quantile is taken over the newest samples, so that a service that becomes
slow as a whole raises its delay and doesn't get a hedge for every request. It
is exact: sorting a window now and then costs less than updating a histogram.
The delay never exceeds its initial value: when many replicas freeze at once,
the quantile is their latency, and hedges are needed most.
"""

import threading
from collections import deque

WINDOW_SAMPLES = 1000
REFRESH_SAMPLES = 100
#: Samples before the quantile replaces the initial delay.
FIRST_SAMPLES = 50


class HedgeDelay:
    """The delay after which an attempt is hedged.

    Args:
        quantile: The quantile of the latency, from 0 to 1.
        initial: The initial and greatest delay, in seconds.
    """

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
        """Add the latency, in seconds, of an attempt that was answered."""
        with self._lock:
            self._window.append(latency)
            self._until_refresh -= 1
            if self._until_refresh == 0:
                self._until_refresh = REFRESH_SAMPLES
                self._refresh()

    def _refresh(self) -> None:
        samples = sorted(self._window)
        latency = samples[int(len(samples) * self._quantile)]
        self._delay = min(latency, self._ceiling)
