"""Bounds how often one kind of event is logged."""

import threading

from basilwall.parts.clock import Clock


class LogLimit:
    """Lets a number of lines pass in each second, and counts the others."""

    def __init__(self, per_second: int, clock: Clock) -> None:
        self._per_second = per_second
        self._clock = clock
        self._second = 0
        self._passed = 0
        self._suppressed = 0
        self._lock = threading.Lock()

    def take(self) -> int | None:
        """Return how many lines were left out before this one.

        Returns:
            None if this line is to be left out, too.
        """
        second = int(self._clock.monotonic())
        with self._lock:
            if second != self._second:
                self._second, self._passed = second, 0
            if self._passed >= self._per_second:
                self._suppressed += 1
                return None
            self._passed += 1
            suppressed, self._suppressed = self._suppressed, 0
            return suppressed
