"""A socket whose reads all end by one moment.

The timeout of a plain socket bounds each read by itself, so a peer that sends
one byte at a time could hold its reader for ever.
"""

import socket
import time
from typing import Any


class DeadlineSocket(socket.socket):
    """Takes over a connected socket; `deadline` is in monotonic seconds."""

    def __init__(self, plain: socket.socket) -> None:
        super().__init__(
            plain.family,
            plain.type,
            plain.proto,
            plain.detach(),
        )
        self.deadline = time.monotonic()

    def recv_into(self, *args: Any, **kwargs: Any) -> int:
        """Read what has come, until the deadline.

        Args:
            args: As for a plain socket.
            kwargs: As for a plain socket.

        Returns:
            The number of bytes read.

        Raises:
            TimeoutError: If nothing came until the deadline.
        """
        left = self.deadline - time.monotonic()
        if left <= 0:
            raise TimeoutError('deadline')
        self.settimeout(left)
        return super().recv_into(*args, **kwargs)
