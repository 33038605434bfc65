"""Reads requests from a caller's connection within size and time limits."""

import select
import socket
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

import h11

from basilwall.parts.clock import Clock
from basilwall.records.routes import CallerLimits

READ_BYTES = 65_536
MS_PER_SECOND = 1000
#: Longest single wait for bytes, so that a planned stop is noticed.
MAX_WAIT_SECONDS = 0.5
#: A new connection is not idle before this time, as its request may be under
#: way; less than a planned stop leaves for the last connections.
FIRST_REQUEST_SECONDS = 0.4
HTTP_BAD_REQUEST = 400
HTTP_TIMEOUT = 408
HTTP_TOO_LARGE = 413
HTTP_HEADERS_TOO_LARGE = 431


def _do_nothing() -> None:
    """Prepare nothing."""


class CallerGoneError(Exception):
    """The connection ended or may be closed, and no request is in progress."""


class _UnreadableRequestError(Exception):
    """The request can't be read; `status` is for the answer."""

    def __init__(self, status: int, detail: str) -> None:
        super().__init__(detail)
        self.status = status


@dataclass(frozen=True, slots=True)
class BadRequest:
    """A request that can't be read; `status` is for the answer."""

    status: int
    detail: str


@dataclass(frozen=True, slots=True)
class CompleteRequest:
    """A request with its body; `head_received_at` is in monotonic seconds."""

    head: h11.Request
    body: bytes
    head_received_at: float


class RequestReader:
    """Reads the requests of one connection in order.

    `is_closing` returns whether idle connections are to be closed.
    """

    def __init__(
        self,
        caller: socket.socket,
        limits: Callable[[], CallerLimits],
        clock: Clock,
        is_closing: Callable[[], bool],
    ) -> None:
        self._caller = caller
        self._limits = limits
        self._clock = clock
        self._is_closing = is_closing
        self._poll = select.poll()
        self._poll.register(caller, select.POLLIN)
        self._head_started_at: float | None = None
        self._received_at = clock.monotonic()
        self._opened_at = self._received_at
        #: The limits in force when the parser was made.
        self._parser_limits = limits()
        self.http = self._new_http()

    def next_request(self) -> CompleteRequest | BadRequest:
        """Wait for the next complete request.

        Returns:
            The request, or the error if it can't be read.

        Raises:
            CallerGoneError: If the connection ended, or is idle and to be
                closed.
        """
        if self.http.our_state is h11.DONE:
            self._start_next_cycle()
        try:
            return self._read_request()
        except _UnreadableRequestError as error:
            return BadRequest(error.status, str(error))
        except h11.RemoteProtocolError as error:
            status = error.error_status_hint or HTTP_BAD_REQUEST
            return BadRequest(status, str(error))

    def _new_http(self) -> h11.Connection:
        self._parser_limits = self._limits()
        return h11.Connection(
            h11.SERVER,
            max_incomplete_event_size=self._parser_limits.max_header_bytes,
        )

    def _start_next_cycle(self) -> None:
        """Start the next request with bytes already read, under new limits."""
        unread_bytes, has_ended = self.http.trailing_data
        self.http = self._new_http()
        if unread_bytes:
            self.http.receive_data(unread_bytes)
        if has_ended:
            self.http.receive_data(b'')

    def _read_request(self) -> CompleteRequest:
        # Of a pipelined request all bytes may have been read before.
        self._received_at = self._clock.monotonic()
        head = self._read_head()
        # The wait for the head may have been long.
        limits = self._limits()
        head_received_at = self._received_at
        framing_error = _framing_error(head)
        if framing_error:
            raise _UnreadableRequestError(HTTP_BAD_REQUEST, framing_error)
        if self.http.they_are_waiting_for_100_continue:
            continue_response = h11.InformationalResponse(
                status_code=100, headers=[]
            )
            self._caller.sendall(self.http.send(continue_response) or b'')
        return CompleteRequest(head, self._read_body(limits), head_received_at)

    def _read_head(self) -> h11.Request:
        self._head_started_at = None
        idle_since = self._clock.monotonic()
        idle_seconds = self._limits().idle_timeout
        while True:
            event = self.http.next_event()
            if isinstance(event, h11.Request):
                return event
            if event is not h11.NEED_DATA:
                raise CallerGoneError
            limits = self._limits()
            # The caller may not know yet that the timeout is shorter now.
            idle_seconds = max(idle_seconds, limits.idle_timeout)
            self._check_head_time(limits, idle_since + idle_seconds)
            self._receive(self._renew_parser)

    def _renew_parser(self) -> None:
        """Read the head under the limits in force, if they have changed."""
        if self._limits() != self._parser_limits:
            self._start_next_cycle()

    def _read_body(self, limits: CallerLimits) -> bytes:
        chunks: list[bytes] = []
        size = 0
        while True:
            ends_at = self._clock.monotonic() + limits.header_timeout
            event = self._next_event(partial(self._check_body_time, ends_at))
            if isinstance(event, h11.EndOfMessage):
                return b''.join(chunks)
            if not isinstance(event, h11.Data):
                raise CallerGoneError
            chunks.append(bytes(event.data))
            size += len(event.data)
            if size > limits.max_body_bytes:
                raise _UnreadableRequestError(
                    HTTP_TOO_LARGE,
                    f'the body is longer than {limits.max_body_bytes} bytes',
                )

    def _next_event(self, check: Callable[[], None]) -> object:
        """Wait for the next event; `check` raises at the time limit."""
        while True:
            event = self.http.next_event()
            if event is not h11.NEED_DATA:
                return event
            check()
            self._receive()

    def _check_head_time(self, limits: CallerLimits, idle_until: float) -> None:
        now = self._clock.monotonic()
        if self._head_started_at is None and self.http.trailing_data[0]:
            self._head_started_at = now
        if self._head_started_at is not None:
            if now - self._head_started_at > limits.header_timeout:
                raise _UnreadableRequestError(
                    HTTP_TIMEOUT,
                    f'the head took longer than {limits.header_timeout} s',
                )
        elif self._may_close(now, idle_until):
            raise CallerGoneError

    def _may_close(self, now: float, idle_until: float) -> bool:
        """Return whether a connection without a request may be closed."""
        is_new = now < self._opened_at + FIRST_REQUEST_SECONDS
        is_due = now >= idle_until or (self._is_closing() and not is_new)
        # A request may have arrived since the last read.
        return is_due and not self._poll.poll(0)

    def _check_body_time(self, ends_at: float) -> None:
        if self._clock.monotonic() > ends_at:
            raise _UnreadableRequestError(
                HTTP_TIMEOUT, 'no further part of the body came in time'
            )

    def _receive(self, prepare: Callable[[], None] = _do_nothing) -> None:
        """Read the caller's bytes, waiting at most `MAX_WAIT_SECONDS`.

        Args:
            prepare: Called once there are any, before they are parsed.
        """
        if not self._poll.poll(MAX_WAIT_SECONDS * MS_PER_SECOND):
            return
        # Parsing takes time of its own, which counts for the caller.
        self._received_at = self._clock.monotonic()
        prepare()
        try:
            self.http.receive_data(self._caller.recv(READ_BYTES))
        except BlockingIOError:
            return
        except OSError as error:
            raise CallerGoneError(str(error)) from error


def _framing_error(head: h11.Request) -> str:
    """Return the error in the framing or the target, or an empty string."""
    names = [name for name, _ in head.headers]
    lengths = names.count(b'content-length')
    if b'transfer-encoding' in names and lengths:
        return 'both Content-Length and Transfer-Encoding are given'
    if not head.target.startswith(b'/'):
        return 'the request target is not a path'
    return ''
