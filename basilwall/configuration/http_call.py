"""One HTTP call whose response is awaited beside those of others."""

import http.client
import os
import select
import socket
from collections.abc import Callable
from dataclasses import dataclass
from email.message import Message
from enum import Enum
from typing import Any

from basilwall.configuration.limited_read import read_body

HTTP_OK = 200
#: A response that has begun is given up after this long without a byte.
STALL_SECONDS = 1.0
#: TCP keep-alive: idle time before the first probe, time between probes, and
#: the number of unanswered probes after which the connection is dead.
KEEPALIVE_IDLE_SECONDS = 1
KEEPALIVE_INTERVAL_SECONDS = 1
KEEPALIVE_PROBES = 2

#: Reads the body of a response.
ReadBody = Callable[[http.client.HTTPResponse], bytes]


class CallPurpose(Enum):
    """What a call is for."""

    READ = 'read'
    #: Tells whether the server answers and has anything new.
    CHECK = 'check'


@dataclass(frozen=True, slots=True)
class CallResponse:
    """A whole response."""

    status: int
    headers: Message
    body: bytes
    will_close: bool


class HttpCall:
    """A GET request on a connection of its own.

    Attributes:
        purpose: What it is for.
        began_at: When it began, in monotonic seconds.
        due_at: When its response is overdue, in monotonic seconds.
    """

    def __init__(
        self,
        address: str,
        path: str,
        purpose: CallPurpose,
        began_at: float,
        due_at: float,
        connection: http.client.HTTPConnection | None = None,
    ) -> None:
        """Begin the call.

        Args:
            address: The address of the server.
            path: The path and the query.
            purpose: What the call is for.
            began_at: The time now, in monotonic seconds.
            due_at: When its response is overdue, in monotonic seconds.
            connection: A connection on which a call was answered; None to open
                a new one.

        Raises:
            OSError: If the connection failed already.
            http.client.HTTPException: If the connection can't be used.
        """
        self.purpose = purpose
        self.began_at = began_at
        self.due_at = due_at
        self._path = path
        self._is_sent = False
        self.connection = connection or _begin_connecting(address)
        if connection is not None:
            self._send()

    @property
    def events(self) -> int:
        """The events of the socket that the call waits for."""
        return select.POLLIN if self._is_sent else select.POLLOUT

    def fileno(self) -> int:
        """Return the descriptor of the socket."""
        return int(self.connection.sock.fileno())

    def advance(self, read: ReadBody) -> CallResponse | None:
        """Go on after an event of the socket.

        Args:
            read: Reads the body of a response to be used; the body of a check
                is small.

        Returns:
            The response; None if it is yet to come.

        Raises:
            OSError: If the connection failed.
            http.client.HTTPException: If the response is invalid.
        """
        if not self._is_sent:
            self._finish_connecting()
            self._send()
            return None
        response = self.connection.getresponse()
        is_read = self.purpose is CallPurpose.READ
        body = read(response) if is_read else read_body(response)
        return CallResponse(
            response.status, response.headers, body, response.will_close
        )

    def close(self) -> None:
        """Close the connection."""
        self.connection.close()

    def _finish_connecting(self) -> None:
        connected: Any = self.connection.sock
        failure = connected.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if failure:
            raise OSError(failure, os.strerror(failure))
        level = socket.IPPROTO_TCP
        connected.setsockopt(level, socket.TCP_NODELAY, 1)
        connected.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        connected.setsockopt(level, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS)
        connected.setsockopt(
            level, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS
        )
        connected.setsockopt(level, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
        connected.settimeout(STALL_SECONDS)

    def _send(self) -> None:
        self.connection.request('GET', self._path)
        self._is_sent = True


def _begin_connecting(address: str) -> http.client.HTTPConnection:
    connection = http.client.HTTPConnection(address)
    found = socket.getaddrinfo(
        connection.host, connection.port, type=socket.SOCK_STREAM
    )
    family, *_, endpoint = found[0]
    connecting = socket.socket(family, socket.SOCK_STREAM)
    connecting.setblocking(False)
    # A failure is reported once the socket is polled.
    connecting.connect_ex(endpoint)
    connection.sock = connecting
    return connection
