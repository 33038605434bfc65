"""Tells when this process was paused and what it knew has grown old.

A paused process wakes up late and still believes what it knew. A task beats
at a known interval; a beat that comes too late, by either clock, was a pause.
From then on nothing counts as known until a read that began after the pause
has ended. A pause that no beat has noticed yet shows when it is asked for.
"""

import threading

from basilwall.parts.clock import Clock

#: Time between two beats, in seconds.
CHECK_INTERVAL_SECONDS = 0.25
#: A beat that is later than this was a pause, in seconds.
MAX_GAP_SECONDS = 1.0


class PauseDetector:
    """Says whether what this process knows was read since its last pause."""

    def __init__(
        self, clock: Clock, max_gap_seconds: float = MAX_GAP_SECONDS
    ) -> None:
        self.pause_count = 0
        self._clock = clock
        self._longest_gap = max_gap_seconds
        self._beat_at = clock.monotonic()
        self._wall_at = clock.wall()
        self._woke_at: float | None = None
        self._lock = threading.Lock()

    def run(self, stopping: threading.Event) -> None:
        """Beat until `stopping` is set."""
        while not stopping.wait(CHECK_INTERVAL_SECONDS):
            self.check_clocks()

    def check_clocks(self) -> None:
        """Look at both clocks and note a pause since the last beat."""
        with self._lock:
            now, wall = self._clock.monotonic(), self._clock.wall()
            gap = max(now - self._beat_at, wall - self._wall_at)
            self._beat_at, self._wall_at = now, wall
            if gap > self._longest_gap:
                self.pause_count += 1
                self._woke_at = now

    def record_read(self, began_at: float) -> None:
        """Note that lists and revisions were read.

        Args:
            began_at: When the read was begun, in monotonic seconds. A read
                from before the pause tells nothing of the time since.
        """
        self.check_clocks()
        with self._lock:
            if self._woke_at is not None and began_at >= self._woke_at:
                self._woke_at = None

    def is_fresh(self) -> bool:
        """Return whether lists and revisions were read since the last pause."""
        self.check_clocks()
        return self._woke_at is None
