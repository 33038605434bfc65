"""Clocks, handed in from outside so that tests own the time.

Two clocks are needed: the monotonic one measures waits and never steps, the
wall clock dates what other VMs read. A jump of one against the other is how
a process learns that it was paused.
"""

import time
from abc import ABC, abstractmethod


class Clock(ABC):
    """A source of time."""

    @abstractmethod
    def monotonic(self) -> float:
        """Return seconds that never go back, from an unknown start."""

    @abstractmethod
    def wall(self) -> float:
        """Return seconds since the epoch."""


class SystemClock(Clock):
    """The clock of this machine."""

    def monotonic(self) -> float:
        """Return the machine's monotonic seconds."""
        return time.monotonic()

    def wall(self) -> float:
        """Return the machine's seconds since the epoch."""
        return time.time()


class BootClock(SystemClock):
    """The clock of this machine, which goes on while it is suspended.

    A deadline that was set before a suspension has passed after it.
    """

    def monotonic(self) -> float:
        """Return the seconds since the machine started."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


class ManualClock(Clock):
    """A clock that moves only when told to."""

    def __init__(self, start: float = 1000.0) -> None:
        self._now = start

    def monotonic(self) -> float:
        """Return the seconds set so far."""
        return self._now

    def wall(self) -> float:
        """Return the same seconds: both clocks move together."""
        return self._now

    def advance(self, seconds: float) -> None:
        """Move both clocks forward by `seconds`."""
        self._now += seconds
