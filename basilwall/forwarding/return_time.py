"""How long this VM takes to return an answer once a request stops waiting.

Merging, logging and encoding take processor time, and a VM may have a small
share of a core. An answer that is due at a certain time must be begun earlier
by that much.
"""

import threading

from basilwall.records.ids import RouteName

#: Assumed before the first answer.
INITIAL_SECONDS = 0.005
#: Weights of the latest time in its moving average, and in the average of its
#: deviation from it.
MEAN_SMOOTHING_FACTOR = 0.125
DEVIATION_SMOOTHING_FACTOR = 0.25
#: How many deviations above the mean are expected.
DEVIATIONS = 2.0
#: Entries kept for routes; all are cleared at this count.
MAX_ENTRIES = 4096


class ReturnTime:
    """A moving estimate that few of the next times exceed, in seconds."""

    def __init__(self) -> None:
        self._mean = INITIAL_SECONDS
        self._deviation: float = 0
        self._is_initial = True
        self._lock = threading.Lock()

    @property
    def expected(self) -> float:
        """The time to allow for, in seconds."""
        return self._mean + DEVIATIONS * self._deviation

    def observe(self, seconds: float) -> None:
        """Add the time that one answer took."""
        with self._lock:
            if self._is_initial:
                self._is_initial = False
                self._mean, self._deviation = seconds, seconds / 2
                return
            error = seconds - self._mean
            self._mean += MEAN_SMOOTHING_FACTOR * error
            self._deviation += DEVIATION_SMOOTHING_FACTOR * (
                abs(error) - self._deviation
            )


class ReturnTimes:
    """The return time of each route; answers differ in their size."""

    def __init__(self) -> None:
        self._by_route: dict[RouteName, ReturnTime] = {}
        self._lock = threading.Lock()

    def of(self, route: RouteName) -> ReturnTime:
        """Return the return time of a route."""
        with self._lock:
            existing = self._by_route.get(route)
            if existing is None:
                if len(self._by_route) >= MAX_ENTRIES:
                    self._by_route.clear()
                existing = ReturnTime()
                self._by_route[route] = existing
        return existing
