"""Reads one caller's requests from its connection, within the limits."""

import select
import socket
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

import h11

from basilwall.parts.clock import Clock
from basilwall.records.routes import CallerLimits

READ_BYTES = 65_536
MILLISECONDS = 1000
#: Longest single wait, so that a planned stop is noticed, in seconds.
LONGEST_WAIT = 0.5
HTTP_BAD_REQUEST = 400
HTTP_TIMEOUT = 408
HTTP_TOO_LARGE = 413
HTTP_HEAD_TOO_LARGE = 431


class CallerGoneError(Exception):
    """The connection ended, or is to end, with no request begun."""


class _RejectedError(Exception):
    """The request can't be read; `status` is that of the answer."""

    def __init__(self, status: int, detail: str) -> None:
        super().__init__(detail)
        self.status = status


@dataclass(frozen=True, slots=True)
class BadRequest:
    """A request that can't be read; `status` is that of the answer."""

    status: int
    detail: str


@dataclass(frozen=True, slots=True)
class WholeRequest:
    """A request read to its end; `head_at` is in monotonic seconds."""

    head: h11.Request
    body: bytes
    head_at: float


class RequestReader:
    """Reads the requests of one connection, one after the other."""

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
        self._begun_at: float | None = None
        self.http = self._new_http()

    def next_request(self) -> WholeRequest | BadRequest:
        """Wait for the next whole request.

        Returns:
            The request, or what is wrong with it.

        Raises:
            CallerGoneError: If the connection ended between two requests.
        """
        if self.http.our_state is h11.DONE:
            self._start_cycle()
        try:
            return self._read_request()
        except _RejectedError as error:
            return BadRequest(error.status, str(error))
        except h11.RemoteProtocolError as error:
            status = error.error_status_hint or HTTP_BAD_REQUEST
            return BadRequest(status, str(error))

    def _new_http(self) -> h11.Connection:
        return h11.Connection(
            h11.SERVER,
            max_incomplete_event_size=self._limits().header_bytes,
        )

    def _start_cycle(self) -> None:
        """Begin anew with what came ahead, under the limits now in force."""
        ahead, has_ended = self.http.trailing_data
        self.http = self._new_http()
        if ahead:
            self.http.receive_data(ahead)
        if has_ended:
            self.http.receive_data(b'')

    def _read_request(self) -> WholeRequest:
        limits = self._limits()
        head = self._read_head(limits)
        head_at = self._clock.monotonic()
        wrong = _framing_error(head)
        if wrong:
            raise _RejectedError(HTTP_BAD_REQUEST, wrong)
        if self.http.they_are_waiting_for_100_continue:
            go_on = h11.InformationalResponse(status_code=100, headers=[])
            self._caller.sendall(self.http.send(go_on) or b'')
        return WholeRequest(head, self._read_body(limits), head_at)

    def _read_head(self, limits: CallerLimits) -> h11.Request:
        self._begun_at = None
        event = self._next_event(
            partial(
                self._check_head,
                limits,
                self._clock.monotonic() + limits.idle_timeout,
            ),
        )
        if isinstance(event, h11.Request):
            return event
        raise CallerGoneError

    def _read_body(self, limits: CallerLimits) -> bytes:
        chunks: list[bytes] = []
        size = 0
        while True:
            ends_at = self._clock.monotonic() + limits.header_timeout
            event = self._next_event(partial(self._check_body, ends_at))
            if isinstance(event, h11.EndOfMessage):
                return b''.join(chunks)
            if not isinstance(event, h11.Data):
                raise CallerGoneError
            chunks.append(bytes(event.data))
            size += len(event.data)
            if size > limits.body_bytes:
                raise _RejectedError(HTTP_TOO_LARGE, 'the body is too large')

    def _next_event(self, check: Callable[[], None]) -> object:
        """Wait for the next event; `check` raises once the time is up."""
        while True:
            event = self.http.next_event()
            if event is not h11.NEED_DATA:
                return event
            check()
            self._receive()

    def _check_head(self, limits: CallerLimits, idle_until: float) -> None:
        now = self._clock.monotonic()
        if self._begun_at is None and self.http.trailing_data[0]:
            self._begun_at = now
        if self._begun_at is not None:
            if now - self._begun_at > limits.header_timeout:
                raise _RejectedError(HTTP_TIMEOUT, 'the head took too long')
        elif self._is_closing() or now >= idle_until:
            raise CallerGoneError

    def _check_body(self, ends_at: float) -> None:
        if self._clock.monotonic() > ends_at:
            raise _RejectedError(HTTP_TIMEOUT, 'the body took too long')

    def _receive(self) -> None:
        """Take in what the caller sent, waiting a little for it."""
        if not self._poll.poll(LONGEST_WAIT * MILLISECONDS):
            return
        try:
            self.http.receive_data(self._caller.recv(READ_BYTES))
        except BlockingIOError:
            return
        except OSError as error:
            raise CallerGoneError(str(error)) from error


def _framing_error(head: h11.Request) -> str:
    """Return what makes the end of a request ambiguous, or an empty text."""
    names = [name for name, _ in head.headers]
    lengths = names.count(b'content-length')
    if b'transfer-encoding' in names and lengths:
        return 'both a length and chunks'
    if not head.target.startswith(b'/'):
        return 'the target is no path'
    return ''
