"""The open connections of callers, and which gives way when all are used.

One whose request was read is served to its end. Of the others the one that has
waited longest gives way to a new connection: for a request that does not come
whole, or for any request at all.
"""

import logging
import socket
import threading
from contextlib import suppress
from enum import Enum

from basilwall.parts.clock import Clock
from basilwall.parts.log_limit import LogLimit

#: A connection that has waited for less keeps its place, as its request may be
#: under way.
MIN_WAIT_SECONDS = 0.1
MAX_LINES_PER_SECOND = 10

_log = logging.getLogger(__name__)


class Phase(Enum):
    """What a connection waits for, or that its request is being served."""

    IDLE = 'idle'
    READING = 'reading'
    SERVING = 'serving'


class OpenConnection:
    """One connection; `since` is when its phase began, in monotonic seconds.

    `is_giving_way` is True once nothing more is read from it.
    """

    def __init__(self, caller: socket.socket, clock: Clock) -> None:
        self.caller = caller
        self.phase = Phase.IDLE
        self.since = clock.monotonic()
        self.is_giving_way = False
        self._clock = clock
        self._lock = threading.Lock()

    def enter(self, phase: Phase) -> None:
        """Begin a phase; nothing changes if it has begun before."""
        if phase is self.phase:
            return
        with self._lock:
            self.phase = phase
            self.since = self._clock.monotonic()

    def give_way(self) -> bool:
        """Read nothing more; False if a request is being served."""
        with self._lock:
            if self.phase is Phase.SERVING or self.is_giving_way:
                return False
            self.is_giving_way = True
            with suppress(OSError):
                self.caller.shutdown(socket.SHUT_RD)
            return True


class OpenConnections:
    """All open connections of callers, at most `limit`."""

    def __init__(self, limit: int, clock: Clock) -> None:
        self._limit = limit
        self._clock = clock
        self._by_socket: dict[socket.socket, OpenConnection] = {}
        self._log_limit = LogLimit(MAX_LINES_PER_SECOND, clock)
        self._lock = threading.Lock()

    def __len__(self) -> int:
        with self._lock:
            return len(self._by_socket)

    def add(self, caller: socket.socket) -> bool:
        """Add a new connection; False if there is no room for it."""
        if self._count_staying() >= self._limit and not self.make_room():
            return False
        with self._lock:
            self._by_socket[caller] = OpenConnection(caller, self._clock)
        return True

    def of(self, caller: socket.socket) -> OpenConnection:
        """Return the entry of a connection, a new one if it has none."""
        with self._lock:
            connection = self._by_socket.get(caller)
        return connection or OpenConnection(caller, self._clock)

    def discard(self, caller: socket.socket) -> None:
        """Remove a connection that is about to be closed."""
        with self._lock:
            self._by_socket.pop(caller, None)

    def make_room(self) -> bool:
        """Let the connection that has waited longest give way.

        Returns:
            False if all of them serve requests, or have waited shortly.
        """
        now = self._clock.monotonic()
        with self._lock:
            waiting = sorted(
                (connection.since, number, connection)
                for number, connection in enumerate(self._by_socket.values())
                if connection.phase is not Phase.SERVING
                and not connection.is_giving_way
            )
        for since, _, connection in waiting:
            if now - since < MIN_WAIT_SECONDS:
                break
            phase = connection.phase
            if connection.give_way():
                self._log_way_given(phase, now - since)
                return True
        return False

    def _count_staying(self) -> int:
        with self._lock:
            return sum(
                not connection.is_giving_way
                for connection in self._by_socket.values()
            )

    def _log_way_given(self, phase: Phase, seconds: float) -> None:
        suppressed = self._log_limit.take()
        if suppressed is not None:
            _log.warning(
                'connection gives way',
                extra={
                    'phase': phase.value,
                    'seconds': round(seconds, 3),
                    'not_logged_before': suppressed,
                },
            )
