"""Reads requests from a caller's connection within size and time limits.

A request gets the same answer however its bytes are cut on their way: what is
compared with a limit is the position of a byte in the request.
"""

import math
import select
from collections.abc import Callable
from dataclasses import dataclass
from typing import NoReturn

from basilwall.ingress.head_search import HeadSearch
from basilwall.ingress.open_connections import OpenConnection, Phase
from basilwall.ingress.request_parser import (
    HTTP_TOO_LARGE,
    ChunkedBodyParser,
    Framing,
    UnreadableRequestError,
    parse_head,
)
from basilwall.parts.clock import Clock
from basilwall.parts.memory_budget import MemoryAccount
from basilwall.records.request_head import RequestHead
from basilwall.records.routes import CallerLimits

READ_BYTES = 65_536
MS_PER_SECOND = 1000
#: Longest single wait for bytes, so that a planned stop is noticed.
MAX_WAIT_SECONDS = 0.5
#: A new connection is not idle before this time, as its request may be under
#: way; less than a planned stop leaves for the last connections.
FIRST_REQUEST_SECONDS = 0.4
#: What a connection may hold without an account.
FREE_BYTES = 16_384
HTTP_TIMEOUT = 408
HTTP_UNAVAILABLE = 503
_CONTINUE = b'HTTP/1.1 100 \r\n\r\n'


class CallerGoneError(Exception):
    """The connection ended or may be closed, and no request is in progress."""


@dataclass(frozen=True, slots=True)
class BadRequest:
    """A request that can't be read; `status` is for the answer.

    It has not run. `may_retry` is True if the same request may be read later.
    """

    status: int
    detail: str
    may_retry: bool = False


@dataclass(frozen=True, slots=True)
class CompleteRequest:
    """A request with its body; `head_received_at` is in monotonic seconds."""

    head: RequestHead
    body: bytes
    head_received_at: float


class RequestReader:
    """Reads the requests of one connection in order."""

    def __init__(
        self,
        connection: OpenConnection,
        limits: Callable[[], CallerLimits],
        clock: Clock,
        is_closing: Callable[[], bool],
        make_room: Callable[[], bool],
    ) -> None:
        """Read from a new connection.

        Args:
            connection: The connection; it is told when a request begins.
            limits: Returns the limits in force.
            clock: The monotonic clock.
            is_closing: Returns whether idle connections are to be closed.
            make_room: Lets another connection give way.
        """
        self._connection = connection
        self._caller = connection.caller
        self._make_room = make_room
        self._limits = limits
        self._clock = clock
        self._is_closing = is_closing
        self._poll = select.poll()
        self._poll.register(self._caller, select.POLLIN)
        self._received_at = clock.monotonic()
        self._opened_at = self._received_at
        #: What was received of the next request.
        self._received = b''

    def next_request(
        self, account: MemoryAccount
    ) -> CompleteRequest | BadRequest:
        """Wait for the next complete request.

        Args:
            account: Counts what the request occupies; the caller of this method
                releases it.

        Returns:
            The request, or the error if it can't be read.

        Raises:
            CallerGoneError: If the connection ended, or is idle and to be
                closed.
        """
        # Of a pipelined request all bytes may have been read before.
        self._received_at = self._clock.monotonic()
        try:
            return self._read_request(account)
        except UnreadableRequestError as error:
            may_retry = error.status in {HTTP_TIMEOUT, HTTP_UNAVAILABLE}
            return BadRequest(error.status, str(error), may_retry)

    def _read_request(self, account: MemoryAccount) -> CompleteRequest:
        head_bytes = self._read_head(account)
        # The wait for the head may have been long.
        limits = self._limits()
        head_received_at = self._received_at
        head, framing = parse_head(head_bytes)
        if (framing.length or 0) > limits.max_body_bytes:
            raise UnreadableRequestError(
                HTTP_TOO_LARGE,
                f'the body is longer than {limits.max_body_bytes} bytes',
            )
        if framing.expects and not self._received:
            self._caller.sendall(_CONTINUE)
        body = self._read_body(framing, limits, account)
        return CompleteRequest(head, body, head_received_at)

    def _read_head(self, account: MemoryAccount) -> bytes:
        """Return a head, and the empty line that ends it."""
        idle_since = self._clock.monotonic()
        idle_seconds = self._limits().idle_timeout
        search = HeadSearch()
        while True:
            limits = self._limits()
            # The caller may not know yet that the timeout is shorter now.
            idle_seconds = max(idle_seconds, limits.idle_timeout)
            self._received = search.skip_empty_lines(self._received)
            if search.has_begun:
                self._connection.enter(Phase.READING)
                now = self._clock.monotonic()
                end = search.find_end(
                    self._received, limits.max_header_bytes, now
                )
                if end:
                    head_bytes = self._received[:end]
                    self._received = self._received[end:]
                    return head_bytes
                self._hold(account, len(self._received))
            self._check_head_time(
                limits, search.begun_at, idle_since + idle_seconds
            )
            self._receive()

    def _read_body(
        self, framing: Framing, limits: CallerLimits, account: MemoryAccount
    ) -> bytes:
        if framing.length is None:
            return self._read_chunks(limits, account)
        length = framing.length
        self._hold(account, length)
        parts = [self._take(length)]
        left = length - len(parts[0])
        while left:
            self._receive_more(limits)
            parts.append(self._take(left))
            left -= len(parts[-1])
        return b''.join(parts)

    def _take(self, size: int) -> bytes:
        """Return received bytes, `size` at most, and keep the others."""
        taken, self._received = self._received[:size], self._received[size:]
        return taken

    def _read_chunks(
        self, limits: CallerLimits, account: MemoryAccount
    ) -> bytes:
        parser = ChunkedBodyParser(limits.max_body_bytes)
        try:
            while True:
                self._received = parser.feed(self._received)
                if parser.is_complete:
                    return bytes(parser.body)
                self._hold(account, len(parser.body))
                self._receive_more(limits)
        finally:
            parser.close()

    def _receive_more(self, limits: CallerLimits) -> None:
        """Wait for the next part of a body.

        Raises:
            UnreadableRequestError: If none comes in time.
        """
        ends_at = self._clock.monotonic() + limits.header_timeout
        while not self._receive():
            if self._clock.monotonic() > ends_at:
                raise UnreadableRequestError(
                    HTTP_TIMEOUT, 'no further part of the body came in time'
                )

    def _check_head_time(
        self, limits: CallerLimits, begun_at: float, idle_until: float
    ) -> None:
        now = self._clock.monotonic()
        if now - begun_at > limits.header_timeout:
            raise UnreadableRequestError(
                HTTP_TIMEOUT,
                f'the head took longer than {limits.header_timeout} s',
            )
        if math.isinf(begun_at) and self._may_close(now, idle_until):
            raise CallerGoneError

    def _may_close(self, now: float, idle_until: float) -> bool:
        """Return whether a connection without a request may be closed."""
        is_new = now < self._opened_at + FIRST_REQUEST_SECONDS
        is_due = now >= idle_until or (self._is_closing() and not is_new)
        # A request may have arrived since the last read.
        return is_due and not self._poll.poll(0)

    def _receive(self) -> bool:
        """Read the caller's bytes, waiting at most `MAX_WAIT_SECONDS`.

        Returns:
            False if none came.

        Raises:
            CallerGoneError: If the connection ended.
        """
        if not self._poll.poll(MAX_WAIT_SECONDS * MS_PER_SECOND):
            return False
        # Parsing takes time of its own, which counts for the caller.
        self._received_at = self._clock.monotonic()
        try:
            received = self._caller.recv(READ_BYTES)
        except BlockingIOError:
            return False
        except OSError as error:
            raise CallerGoneError(str(error)) from error
        if not received:
            self._raise_ended()
        self._received += received
        return True

    def _raise_ended(self) -> NoReturn:
        """Raise the error of a connection from which nothing more comes."""
        is_reading = self._connection.phase is Phase.READING
        if is_reading and self._connection.is_giving_way:
            raise UnreadableRequestError(
                HTTP_TIMEOUT, 'gave way to another connection'
            )
        raise CallerGoneError('connection closed')

    def _hold(self, account: MemoryAccount, size: int) -> None:
        """Count what a request occupies.

        Raises:
            UnreadableRequestError: If there is no room for it.
        """
        if size > FREE_BYTES and not account.resize(size):
            self._make_room()
            raise UnreadableRequestError(
                HTTP_UNAVAILABLE, 'no room for the request'
            )
