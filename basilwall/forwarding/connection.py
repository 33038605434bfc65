"""A TCP connection to a searcher.

Its socket is non-blocking, because a request polls several sockets at once.
"""

import errno
import select
import socket
from contextlib import suppress

from basilwall.forwarding.connection_pools import PooledConnection
from basilwall.parts.clock import Clock
from basilwall.records.endpoint import parse_address
from basilwall.records.searcher import Searcher

#: An idle connection is closed this long before its searcher would close it.
IDLE_MARGIN_SECONDS = 1.0
#: How long an idle connection is kept if the searcher names no time.
DEFAULT_IDLE_SECONDS = 4.0
#: The kernel drops a connection whose sent data is unacknowledged this long.
TCP_USER_TIMEOUT_MS = 4000


class SearcherConnection(PooledConnection):
    """A non-blocking TCP connection to one searcher."""

    def __init__(self, searcher: Searcher, clock: Clock) -> None:
        self.searcher = searcher
        self._clock = clock
        self.connect_started_at = clock.monotonic()
        self.usable_until = self.connect_started_at + DEFAULT_IDLE_SECONDS
        self.is_connected = False
        self.is_prepared = False
        #: Whether a request has been answered on it.
        self.is_used = False
        self.connect_seconds: float | None = None
        endpoint = parse_address(searcher.address)
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.socket.setblocking(False)
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.socket.setsockopt(
            socket.IPPROTO_TCP,
            socket.TCP_USER_TIMEOUT,
            TCP_USER_TIMEOUT_MS,
        )
        failure = self.socket.connect_ex((endpoint.host, endpoint.port))
        self.failure = 0 if failure == errno.EINPROGRESS else failure

    def has_input(self) -> bool:
        """Return whether data or end of stream followed the last reply.

        One that is still connecting has input once that has failed.
        """
        if not self.is_connected:
            return self._has_failed_to_connect()
        try:
            self.socket.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            return True
        return True

    def mark_idle(self, idle_timeout: float | None) -> None:
        """Set how long the connection may be reused, after a reply.

        Args:
            idle_timeout: How long the searcher keeps it idle, in seconds;
                None if it does not say.
        """
        self.is_used = True
        timeout = idle_timeout or DEFAULT_IDLE_SECONDS + IDLE_MARGIN_SECONDS
        self.usable_until = self._clock.monotonic() + max(
            timeout - IDLE_MARGIN_SECONDS,
            timeout / 2,
        )

    def finish_connecting(self) -> None:
        """Complete a non-blocking connect.

        Raises:
            OSError: If the connect failed.
        """
        failure = self.failure or self.socket.getsockopt(
            socket.SOL_SOCKET,
            socket.SO_ERROR,
        )
        if failure:
            raise OSError(failure, 'connect failed')
        self.is_connected = True
        if not self.is_prepared:
            self.connect_seconds = (
                self._clock.monotonic() - self.connect_started_at
            )

    def close(self) -> None:
        """Close the socket; the searcher then aborts the request on it."""
        with suppress(OSError):
            self.socket.close()

    def _has_failed_to_connect(self) -> bool:
        poll = select.poll()
        # Errors and hang-ups are reported without being asked for.
        poll.register(self.socket, 0)
        return bool(poll.poll(0))
