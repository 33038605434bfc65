"""Socket with one deadline for all reads.

The timeout of a plain socket applies to each read separately, so a peer that
sends one byte at a time could block its reader indefinitely.
"""

import math
import socket
import time
from typing import Any


class DeadlineSocket(socket.socket):
    """Takes over a connected socket; `deadline` is in monotonic seconds.

    The deadline must be set before a read: the first value is already past. A
    read also fails if no bytes come for `stall_seconds`.
    """

    def __init__(self, connected: socket.socket) -> None:
        super().__init__(
            connected.family,
            connected.type,
            connected.proto,
            connected.detach(),
        )
        self.deadline = time.monotonic()
        self.stall_seconds = math.inf

    def recv_into(self, *args: Any, **kwargs: Any) -> int:
        """Read available bytes, waiting until the deadline at most.

        Args:
            args: Passed to `socket.recv_into`.
            kwargs: Passed to `socket.recv_into`.

        Returns:
            The number of bytes read.

        Raises:
            TimeoutError: If no bytes came before the deadline, or for too long.
        """
        seconds_left = self.deadline - time.monotonic()
        if seconds_left <= 0:
            raise TimeoutError('read deadline exceeded')
        self.settimeout(min(seconds_left, self.stall_seconds))
        return super().recv_into(*args, **kwargs)
