"""One connection to a searcher.

Sockets do not block: the task of a caller's connection waits on several of
them at once.
"""

import errno
import socket
from contextlib import suppress

from basilwall.forwarding.connection_pools import PooledConnection
from basilwall.parts.clock import Clock
from basilwall.records.searcher import Searcher

#: An idle connection is given up this long before its searcher does, seconds.
IDLE_MARGIN_SECONDS = 1.0
#: Kept idle if the searcher names no time, in seconds.
DEFAULT_IDLE_SECONDS = 4.0
#: Sent data that nobody acknowledges ends a connection, in milliseconds.
TCP_USER_TIMEOUT_MS = 4000


class SearcherConnection(PooledConnection):
    """A socket to one searcher that does not block."""

    def __init__(self, searcher: Searcher, clock: Clock) -> None:
        self.searcher = searcher
        self._clock = clock
        self.connect_started_at = clock.monotonic()
        self.usable_until = self.connect_started_at + DEFAULT_IDLE_SECONDS
        self.is_connected = False
        self.connect_seconds: float | None = None
        host, _, port = searcher.address.rpartition(':')
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.socket.setblocking(False)
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.socket.setsockopt(
            socket.IPPROTO_TCP,
            socket.TCP_USER_TIMEOUT,
            TCP_USER_TIMEOUT_MS,
        )
        failure = self.socket.connect_ex((host, int(port)))
        self.failure = 0 if failure == errno.EINPROGRESS else failure

    def has_input(self) -> bool:
        """Return whether bytes, or the end, came after the last reply."""
        try:
            self.socket.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            return True
        return True

    def mark_idle(self, idle_limit: float | None) -> None:
        """Note a reply, after which the connection is idle.

        Args:
            idle_limit: How long the searcher keeps it, in seconds, or None.
        """
        limit = idle_limit or DEFAULT_IDLE_SECONDS + IDLE_MARGIN_SECONDS
        self.usable_until = self._clock.monotonic() + max(
            limit - IDLE_MARGIN_SECONDS,
            limit / 2,
        )

    def finish_connecting(self) -> None:
        """Note that the connection is made.

        Raises:
            OSError: If it is not.
        """
        failure = self.failure or self.socket.getsockopt(
            socket.SOL_SOCKET,
            socket.SO_ERROR,
        )
        if failure:
            raise OSError(failure, 'connect failed')
        self.is_connected = True
        self.connect_seconds = self._clock.monotonic() - self.connect_started_at

    def close(self) -> None:
        """Close the socket; a searcher drops what it runs for it."""
        with suppress(OSError):
            self.socket.close()
