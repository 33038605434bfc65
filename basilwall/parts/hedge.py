"""When to send a second attempt: after a quantile of the usual latency.

The quantile is taken over a sliding pair of windows, so that a service that
becomes slow as a whole raises its own delay and isn't hedged all over.
"""

import threading

from hdrh.histogram import HdrHistogram

LOWEST_MICROSECONDS = 1
HIGHEST_MICROSECONDS = 60_000_000
SIGNIFICANT_DIGITS = 2
WINDOW_SAMPLES = 1000
REFRESH_SAMPLES = 50
MICROSECONDS = 1_000_000
PERCENT = 100.0


class HedgeDelay:
    """The delay after which an attempt counts as late enough to hedge."""

    def __init__(self, quantile: float, initial: float) -> None:
        self._percentile = quantile * PERCENT
        self._delay = initial
        self._recent = _new_histogram()
        self._former = _new_histogram()
        self._lock = threading.Lock()

    @property
    def delay(self) -> float:
        """The delay in seconds."""
        return self._delay

    def observe(self, latency: float) -> None:
        """Count the latency, in seconds, of one attempt that answered."""
        with self._lock:
            self._recent.record_value(int(latency * MICROSECONDS) + 1)
            count = self._recent.get_total_count()
            if count % REFRESH_SAMPLES == 0:
                self._refresh()
            if count >= WINDOW_SAMPLES:
                self._former, self._recent = self._recent, self._former
                self._recent.reset()

    def _refresh(self) -> None:
        delays = [
            window.get_value_at_percentile(self._percentile)
            for window in (self._recent, self._former)
            if window.get_total_count()
        ]
        self._delay = max(delays) / MICROSECONDS


def _new_histogram() -> HdrHistogram:
    return HdrHistogram(
        LOWEST_MICROSECONDS,
        HIGHEST_MICROSECONDS,
        SIGNIFICANT_DIGITS,
    )
