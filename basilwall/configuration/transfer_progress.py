"""Whether a reply of the platform is being received or applied right now.

A large value takes seconds over a narrow link. Until it is in force, what this
VM knows grows older, though its connection to the platform works and another
one would be no faster.
"""

import math
from collections.abc import Iterator
from contextlib import contextmanager

from basilwall.parts.clock import Clock

#: A transfer without a byte for this long counts as stalled, and a reply that
#: came longer ago as applied.
STALL_SECONDS = 0.5
#: A longer transfer counts as stalled, too.
MAX_TRANSFER_SECONDS = 8.0


class TransferProgress:
    """The progress of the transfer that is running, if any."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._began_at = -math.inf
        self._received_at: float | None = None

    @contextmanager
    def receiving(self) -> Iterator[None]:
        """Mark a transfer as running for the length of a block.

        If the block ends without an error, the reply is yet to be applied.
        """
        self._began_at = self._clock.monotonic()
        self._received_at = self._began_at
        try:
            yield
        except BaseException:
            self._received_at = None
            raise

    def note_piece(self) -> None:
        """Record that a piece of the reply has come."""
        self._received_at = self._clock.monotonic()

    def contact_at(self) -> float:
        """Return when a transfer last brought a piece of a reply.

        Returns:
            The time in monotonic seconds; minus infinity if none is running or
            has just ended, or if it has stalled.
        """
        received_at, now = self._received_at, self._clock.monotonic()
        if received_at is None:
            return -math.inf
        is_stalled = now - received_at > STALL_SECONDS
        is_overlong = now - self._began_at > MAX_TRANSFER_SECONDS
        return -math.inf if is_stalled or is_overlong else received_at
