"""Clocks, passed in so that tests control the time.

The monotonic clock measures waits and never steps. The wall clock dates what
other VMs read. A jump of one clock against the other shows that the process
was suspended.
"""

import time
from abc import ABC, abstractmethod


class Clock(ABC):
    """A monotonic clock and a wall clock."""

    @abstractmethod
    def monotonic(self) -> float:
        """Return seconds since an arbitrary start; they never go back."""

    @abstractmethod
    def wall(self) -> float:
        """Return seconds since the epoch."""


class SystemClock(Clock):
    """The clocks of this machine."""

    def monotonic(self) -> float:
        """Return the machine's monotonic seconds."""
        return time.monotonic()

    def wall(self) -> float:
        """Return the machine's seconds since the epoch."""
        return time.time()


class BootClock(SystemClock):
    """The clocks of this machine, with a monotonic clock that runs in suspend.

    A deadline that was set before a suspension has passed after it.
    """

    def monotonic(self) -> float:
        """Return the seconds since boot, time in suspension included."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


class ManualClock(Clock):
    """A clock that moves only by `advance`."""

    def __init__(self, start: float = 1000.0) -> None:
        self._now = start

    def monotonic(self) -> float:
        """Return the seconds that were set."""
        return self._now

    def wall(self) -> float:
        """Return the same seconds as `monotonic`."""
        return self._now

    def advance(self, seconds: float) -> None:
        """Move both clocks forward by `seconds`."""
        self._now += seconds
