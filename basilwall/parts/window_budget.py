"""Budget for extra attempts over a sliding time window.

A token bucket grants its capacity once and then has to be refilled by first
attempts. Here a fixed slack is available in every window: the budget counts
the attempts of the last window, so the slack returns as the window moves on.
"""

import threading
from collections import deque
from dataclasses import dataclass

from basilwall.parts.clock import Clock

#: Length of the time steps that attempts are counted by, in seconds.
STEP = 0.5


@dataclass(slots=True)
class _Step:
    began_at: float
    first: int = 0
    extra: int = 0


class WindowBudget:
    """Allows a share of the first attempts plus a slack as extra attempts."""

    def __init__(
        self,
        fraction: float,
        slack: float,
        window: float,
        clock: Clock,
    ) -> None:
        """Create a budget of which nothing is spent.

        Args:
            fraction: Extra attempts allowed for each first attempt.
            slack: Further extra attempts allowed in a window.
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
            self._current_step().first += attempts
            self._first += attempts

    def spend(self, reserve: float = 0) -> bool:
        """Count one extra attempt if the budget of the window allows it.

        Args:
            reserve: The share of the budget, from 0 to 1, that is left to
                more important attempts.

        Returns:
            True if the attempt may be sent.
        """
        with self._lock:
            step = self._current_step()
            allowed = self._fraction * self._first + self.slack
            if self._extra + 1 > allowed * (1 - reserve):
                return False
            step.extra += 1
            self._extra += 1
            return True

    def _current_step(self) -> _Step:
        """Return the step of the current time and drop expired steps."""
        now = self._clock.monotonic()
        # A step counts attempts up to its length after its start, so it is
        # kept for that much longer.
        horizon = now - self._window - STEP
        while self._steps and self._steps[0].began_at < horizon:
            expired = self._steps.popleft()
            self._first -= expired.first
            self._extra -= expired.extra
        if not self._steps or now - self._steps[-1].began_at >= STEP:
            self._steps.append(_Step(now))
        return self._steps[-1]
