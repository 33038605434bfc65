"""How far back the strikes reach that a VM knows of.

Nothing of a VM outlives its process. After the loss of all VMs nobody knows
which contents crashed searchers before, so one more crash may be the second.
A VM that joins others learns their strikes, and inherits how far these reach.
"""

import math
import threading

from basilwall.parts.clock import Clock

#: A memory of this length holds all crashes that count together.
COMPLETE_SECONDS = 300.0


class StrikeMemory:
    """Since when a VM knows of all strikes, itself or from others."""

    def __init__(self, clock: Clock, *, is_blank: bool = True) -> None:
        """Make a memory.

        Args:
            clock: The monotonic clock.
            is_blank: Whether earlier strikes may be unknown.
        """
        self._clock = clock
        self._began_at = clock.monotonic() if is_blank else -math.inf
        self._lock = threading.Lock()

    @property
    def seconds(self) -> float:
        """How far back it reaches, in seconds; infinite if it has no gap."""
        return self._clock.monotonic() - self._began_at

    @property
    def is_complete(self) -> bool:
        """True if no strike that counts may be unknown."""
        return self.seconds >= COMPLETE_SECONDS

    def inherit(self, seconds: float) -> bool:
        """Take over the memory of another VM, with its strikes.

        Args:
            seconds: How far back it reaches.

        Returns:
            True if this memory is complete now and was not before.
        """
        if not seconds > 0:
            return False
        with self._lock:
            was_complete = self.is_complete
            began_at = self._clock.monotonic() - seconds
            self._began_at = min(self._began_at, began_at)
            return self.is_complete and not was_complete
