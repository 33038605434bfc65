"""A limit on the bytes that all connections of a process buffer together."""

import threading


class ByteBudget:
    """Bytes that are reserved and released again.

    `used` is what is reserved now, `limit` the most that may be, in bytes.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.used = 0
        self._lock = threading.Lock()

    def reserve(self, size: int) -> bool:
        """Reserve `size` bytes; False if that exceeds the limit."""
        with self._lock:
            if self.used + size > self.limit:
                return False
            self.used += size
            return True

    def release(self, size: int) -> None:
        """Release reserved bytes."""
        with self._lock:
            self.used -= size
