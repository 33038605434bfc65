"""One HTTP connection to a searcher.

A connection whose reply was not read to its end is closed and never reused,
so a late reply can't be taken for the reply to the next request. A body that
is shorter than its Content-Length counts as a lost attempt, not as an answer.
"""

import http.client
import select
import socket
import threading
import time
from contextlib import suppress
from urllib.parse import quote

from basilwall.backend.minimal_http import MinimalHttpConnection
from basilwall.backend.replies import RawReply, ReplyError, parse_reply
from basilwall.parts.deadline_socket import DeadlineSocket
from basilwall.records.attempt import (
    AttemptOutcome,
    AttemptRequest,
    MayHaveRun,
    NotRun,
    OutcomeTag,
)
from basilwall.records.ids import SearcherAddress

#: Shortest timeout of a socket operation.
MIN_TIMEOUT_SECONDS = 0.001
MS_PER_SECOND = 1000
#: A larger reply counts as a lost attempt.
MAX_REPLY_BYTES = 16_777_216


class ConnectError(Exception):
    """The connection could not be opened, so nothing was sent."""


class SearcherConnection:
    """Persistent connection that handles one attempt at a time.

    It is used by one task; only `abort` may be called from other threads.
    """

    def __init__(self, address: SearcherAddress) -> None:
        self.address = address
        self._http: MinimalHttpConnection | None = None
        self._socket: DeadlineSocket | None = None
        self._current_request: AttemptRequest | None = None
        self._lock = threading.Lock()

    @property
    def is_open(self) -> bool:
        """Whether a request may be sent without connecting first."""
        return self._http is not None

    def open(self, timeout: float) -> None:
        """Connect unless there is a usable connection.

        Args:
            timeout: The connect timeout, in seconds.

        Raises:
            ConnectError: If the searcher does not accept the connection.
        """
        if self._socket is not None and not _has_input(self._socket):
            return
        self.close()
        connection = MinimalHttpConnection(
            self.address,
            timeout=max(timeout, MIN_TIMEOUT_SECONDS),
        )
        try:
            connection.connect()
        except OSError as error:
            connection.close()
            raise ConnectError(str(error)) from error
        self._socket = DeadlineSocket(connection.sock)
        connection.sock = self._socket
        connection.auto_open = 0
        self._http = connection

    def begin_attempt(self, request: AttemptRequest) -> None:
        """Register the attempt that is about to be sent, for `abort`."""
        with self._lock:
            self._current_request = request

    def exchange(
        self,
        request: AttemptRequest,
        timeout: float,
    ) -> AttemptOutcome:
        """Send one attempt and read its whole reply.

        Args:
            request: The attempt.
            timeout: The time left to it, in seconds.

        Returns:
            The outcome. The connection is closed unless the reply was read
            to its end and belongs to this attempt.
        """
        try:
            self._prepare(request, timeout)
        except (ValueError, http.client.HTTPException) as error:
            self.close()
            return NotRun(self.address, OutcomeTag.NOT_SENT, repr(error))
        try:
            raw = self._exchange(request, timeout)
            return parse_reply(self.address, request, raw)
        except ReplyError as error:
            self.close()
            return MayHaveRun(self.address, error.tag, str(error))

    def end_attempt(self) -> None:
        """Unregister the attempt; it can't be aborted any more."""
        with self._lock:
            self._current_request = None

    def abort(self, request: AttemptRequest) -> None:
        """Abort the exchange of an attempt in another thread.

        Args:
            request: The attempt; nothing happens if the connection has moved
                on to another one.
        """
        with self._lock:
            if self._current_request is request and self._socket is not None:
                with suppress(OSError):
                    self._socket.shutdown(socket.SHUT_RDWR)

    def close(self) -> None:
        """Close the connection; `open` makes a new one."""
        with self._lock:
            connection, self._http = self._http, None
            self._socket = None
        if connection is not None:
            connection.close()

    def _prepare(self, request: AttemptRequest, timeout: float) -> None:
        """Buffer the request line and headers without sending them."""
        connection = self._http
        if connection is None:
            raise ValueError('connection closed')
        path = f'/v1/{request.service}/{request.instance}/{request.kind.value}'
        connection.prepare(quote(path), _headers(request, timeout))

    def _exchange(self, request: AttemptRequest, timeout: float) -> RawReply:
        connection, deadline_socket = self._http, self._socket
        if connection is None or deadline_socket is None:
            raise ReplyError(OutcomeTag.LOST, 'connection closed')
        timeout_seconds = max(timeout, MIN_TIMEOUT_SECONDS)
        deadline_socket.settimeout(timeout_seconds)
        deadline_socket.deadline = time.monotonic() + timeout_seconds
        try:
            connection.endheaders(request.body)
            response = connection.getresponse()
            body = response.read(MAX_REPLY_BYTES + 1)
        except TimeoutError as error:
            raise ReplyError(OutcomeTag.LATE, 'reply timed out') from error
        except (OSError, ValueError, http.client.HTTPException) as error:
            raise ReplyError(OutcomeTag.LOST, repr(error)) from error
        # http.client returns a truncated body without an error; `length` holds
        # the number of bytes still missing.
        if response.length or len(body) > MAX_REPLY_BYTES:
            raise ReplyError(
                OutcomeTag.LOST, 'reply body truncated or too large'
            )
        if response.will_close:
            self.close()
        return RawReply(response.status, body)


def _has_input(connected: socket.socket) -> bool:
    """Return whether the peer sent bytes or closed after the last reply."""
    poller = select.poll()
    poller.register(connected, select.POLLIN)
    return bool(poller.poll(0))


def _headers(
    request: AttemptRequest,
    timeout: float,
) -> tuple[tuple[str, str], ...]:
    return (
        ('Request-Id', request.request_id),
        ('Attempt-Id', request.attempt_id),
        ('Snapshot', request.snapshot),
        ('Timeout-Ms', str(int(timeout * MS_PER_SECOND))),
        ('Content-Length', str(len(request.body))),
    )
