"""A budget for extra attempts that holds in every window of some length.

A token bucket gives a fixed slack once and then waits for it to be earned
anew. Where the bound is one on any window, the slack comes back as the window
moves on, and this counts just that: what was sent in the last window.
"""

import threading
from collections import deque
from dataclasses import dataclass

from basilwall.parts.clock import Clock

#: Counts are kept for steps of this length, in seconds.
STEP = 0.5


@dataclass(slots=True)
class _Step:
    began_at: float
    first: int = 0
    extra: int = 0


class WindowBudget:
    """Extra attempts in any window: a share of the first ones, and a slack."""

    def __init__(
        self,
        fraction: float,
        slack: float,
        window: float,
        clock: Clock,
    ) -> None:
        """Make a budget of which nothing is spent.

        Args:
            fraction: Extra attempts for each first one.
            slack: Extra attempts in a window beside those.
            window: The length of a window, in seconds.
            clock: Dates the attempts.
        """
        self.slack = slack
        self._fraction = fraction
        self._window = window
        self._clock = clock
        self._steps: deque[_Step] = deque()
        self._first = 0
        self._extra = 0
        self._lock = threading.Lock()

    def earn(self, attempts: int = 1) -> None:
        """Count first attempts."""
        with self._lock:
            self._now().first += attempts
            self._first += attempts

    def spend(self, reserve: float = 0) -> bool:
        """Count one extra attempt if the window has room for it.

        Args:
            reserve: The part of the budget that is left for what needs it
                more, from 0 to 1.

        Returns:
            True if the attempt may be sent.
        """
        with self._lock:
            step = self._now()
            allowed = self._fraction * self._first + self.slack
            if self._extra + 1 > allowed * (1 - reserve):
                return False
            step.extra += 1
            self._extra += 1
            return True

    def _now(self) -> _Step:
        """Return the step of this moment, the old ones forgotten."""
        now = self._clock.monotonic()
        # A step holds what came up to its length later: that must stay.
        horizon = now - self._window - STEP
        while self._steps and self._steps[0].began_at < horizon:
            old = self._steps.popleft()
            self._first -= old.first
            self._extra -= old.extra
        if not self._steps or now - self._steps[-1].began_at >= STEP:
            self._steps.append(_Step(now))
        return self._steps[-1]
