"""Detects that this process was suspended and that its state may be stale.

A process that resumes after a suspension still relies on the state it read
before. A task checks the clocks at a fixed interval; a gap between two checks
that is too long, by either clock, is a pause. After a pause the state counts
as stale until a read that began after the pause has succeeded. `is_fresh` also
checks the clocks, so it notices a pause before the task does.
"""

import threading

from basilwall.parts.clock import Clock

#: Time between two checks of the clocks.
CHECK_INTERVAL_SECONDS = 0.25
#: A longer time between two checks counts as a pause.
MAX_GAP_SECONDS = 1.0


class PauseDetector:
    """Tells whether the state was read since the last pause.

    `pause_count` counts the pauses detected.
    """

    def __init__(
        self, clock: Clock, max_gap_seconds: float = MAX_GAP_SECONDS
    ) -> None:
        self.pause_count = 0
        self._clock = clock
        self._max_gap_seconds = max_gap_seconds
        self._checked_at = clock.monotonic()
        self._checked_wall_at = clock.wall()
        self._resumed_at: float | None = None
        self._lock = threading.Lock()

    def run(self, stopping: threading.Event) -> None:
        """Check the clocks at an interval until `stopping` is set."""
        while not stopping.wait(CHECK_INTERVAL_SECONDS):
            self.check_clocks()

    def check_clocks(self) -> None:
        """Check both clocks and record a pause since the last check."""
        with self._lock:
            now, wall = self._clock.monotonic(), self._clock.wall()
            gap = max(now - self._checked_at, wall - self._checked_wall_at)
            self._checked_at, self._checked_wall_at = now, wall
            if gap > self._max_gap_seconds:
                self.pause_count += 1
                self._resumed_at = now

    def record_read(self, began_at: float) -> None:
        """Record that the fleet list and the revisions were read.

        Args:
            began_at: When the read began, in monotonic seconds. A read that
                began before the pause doesn't end the staleness.
        """
        self.check_clocks()
        with self._lock:
            if self._resumed_at is not None and began_at >= self._resumed_at:
                self._resumed_at = None

    def is_fresh(self) -> bool:
        """Return whether the state was read since the last pause."""
        self.check_clocks()
        return self._resumed_at is None
