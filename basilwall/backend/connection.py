"""One HTTP connection to a searcher.

A connection whose reply was not read to its end is closed and never used
again, so a late reply can't be taken for that of the next request. A body
that ends before its stated length is a lost attempt, not a short answer.
"""

import http.client
import select
import socket
import threading
import time
from contextlib import suppress
from urllib.parse import quote

from basilwall.backend.deadline_socket import DeadlineSocket
from basilwall.backend.minimal_http import MinimalHttpConnection
from basilwall.backend.replies import RawReply, ReplyError, parse_reply
from basilwall.records.attempt import (
    AttemptOutcome,
    AttemptRequest,
    MayHaveRun,
    NotRun,
    OutcomeTag,
)
from basilwall.records.ids import SearcherAddress

#: Least time given to a socket operation, in seconds.
MIN_TIMEOUT_SECONDS = 0.001
MS_PER_SECOND = 1000
#: A reply above this size ends the attempt, in bytes.
MAX_REPLY_BYTES = 16_777_216


class ConnectError(Exception):
    """No connection could be made, so nothing was sent."""


class SearcherConnection:
    """A kept-alive connection that carries one attempt at a time.

    One task uses it; `abort` alone may be called from another thread.
    """

    def __init__(self, address: SearcherAddress) -> None:
        self.address = address
        self._http: MinimalHttpConnection | None = None
        self._socket: DeadlineSocket | None = None
        self._current_request: AttemptRequest | None = None
        self._lock = threading.Lock()

    @property
    def is_open(self) -> bool:
        """True if a request may be sent without connecting first."""
        return self._http is not None

    def open(self, timeout: float) -> None:
        """Connect if there is no usable connection.

        Args:
            timeout: The longest wait, in seconds.

        Raises:
            ConnectError: If the searcher does not accept.
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
        """Name the attempt that is about to be exchanged, so it can end."""
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
        """Say that the attempt has ended; it can't be aborted any more."""
        with self._lock:
            self._current_request = None

    def abort(self, request: AttemptRequest) -> None:
        """End the exchange of an attempt that another thread waits in.

        Args:
            request: The attempt; nothing happens if the connection has moved
                on to another one.
        """
        with self._lock:
            if self._current_request is request and self._socket is not None:
                with suppress(OSError):
                    self._socket.shutdown(socket.SHUT_RDWR)

    def close(self) -> None:
        """Close the connection; the next use makes a new one."""
        with self._lock:
            connection, self._http = self._http, None
            self._socket = None
        if connection is not None:
            connection.close()

    def _prepare(self, request: AttemptRequest, timeout: float) -> None:
        """Write the head of the request, without sending it."""
        connection = self._http
        if connection is None:
            raise ValueError('connection closed')
        path = f'/v1/{request.service}/{request.instance}/{request.kind.value}'
        connection.prepare(quote(path), _headers(request, timeout))

    def _exchange(self, request: AttemptRequest, timeout: float) -> RawReply:
        connection, timed = self._http, self._socket
        if connection is None or timed is None:
            raise ReplyError(OutcomeTag.LOST, 'connection closed')
        bounded = max(timeout, MIN_TIMEOUT_SECONDS)
        timed.settimeout(bounded)
        timed.deadline = time.monotonic() + bounded
        try:
            connection.endheaders(request.body)
            response = connection.getresponse()
            body = response.read(MAX_REPLY_BYTES + 1)
        except TimeoutError as error:
            raise ReplyError(OutcomeTag.LATE, 'timeout') from error
        except (OSError, ValueError, http.client.HTTPException) as error:
            raise ReplyError(OutcomeTag.LOST, repr(error)) from error
        # The library returns a short body without an error; what it still
        # waits for stands in `length`.
        if response.length or len(body) > MAX_REPLY_BYTES:
            raise ReplyError(OutcomeTag.LOST, 'body cut short or too large')
        if response.will_close:
            self.close()
        return RawReply(response.status, body)


def _has_input(connected: socket.socket) -> bool:
    """Return whether bytes, or the end, came after the last reply."""
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
