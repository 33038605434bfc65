"""Tells when this process was paused and what it knew has grown old.

A paused process wakes up late and still believes what it knew. A task beats
at a known interval; a beat that comes too late, by either clock, was a pause.
From then on nothing counts as known until a read that began after the pause
has ended. A pause that no beat has noticed yet shows when it is asked for.
"""

import threading

from basilwall.parts.clock import Clock

#: Time between two beats, in seconds.
BEAT = 0.25
#: A beat that is later than this was a pause, in seconds.
LONGEST_GAP = 1.0


class PauseWatch:
    """Says whether what this process knows was read since its last pause."""

    def __init__(self, clock: Clock, longest_gap: float = LONGEST_GAP) -> None:
        self.pauses = 0
        self._clock = clock
        self._longest_gap = longest_gap
        self._beat_at = clock.monotonic()
        self._wall_at = clock.wall()
        self._woke_at: float | None = None
        self._lock = threading.Lock()

    def run(self, stopping: threading.Event) -> None:
        """Beat until `stopping` is set."""
        while not stopping.wait(BEAT):
            self.beat()

    def beat(self) -> None:
        """Look at both clocks and note a pause since the last beat."""
        with self._lock:
            now, wall = self._clock.monotonic(), self._clock.wall()
            gap = max(now - self._beat_at, wall - self._wall_at)
            self._beat_at, self._wall_at = now, wall
            if gap > self._longest_gap:
                self.pauses += 1
                self._woke_at = now

    def note_read(self, began_at: float) -> None:
        """Note that lists and revisions were read.

        Args:
            began_at: When the read was begun, in monotonic seconds. A read
                from before the pause tells nothing of the time since.
        """
        self.beat()
        with self._lock:
            if self._woke_at is not None and began_at >= self._woke_at:
                self._woke_at = None

    def is_fresh(self) -> bool:
        """Return whether lists and revisions were read since the last pause."""
        self.beat()
        return self._woke_at is None
