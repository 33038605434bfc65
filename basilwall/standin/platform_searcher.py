"""A stand-in for a searcher of the users' platform.

It answers with records and a signature, and refuses requests that expect
another searcher. It can be set to fail in each way that the platform's
searchers do.
"""

import socket
import struct
import threading
import time
from collections import deque
from collections.abc import Sequence
from contextlib import suppress
from dataclasses import dataclass, replace
from enum import Enum
from types import MappingProxyType

import h11

from basilwall.standin.http_server import split_address

READ_BYTES = 65_536
BACKLOG = 256
#: How often the bytes of an endless answer are repeated in one send.
ENDLESS_REPEATS = 500
HTTP_OK = 200
HTTP_MISDIRECTED = 421
HTTP_ERROR = 500
HTTP_UNAVAILABLE = 503
#: SO_LINGER with a timeout of 0 s: closing sends a TCP reset.
_LINGER_RESET = struct.pack('ii', 1, 0)


class Behaviour(Enum):
    """How a searcher handles one request.

    ANSWER: Answers with its records.
    SHED: Refuses with 503 and `Not-Executed`, without running the request.
    FAIL: Answers with 500.
    RESET: Resets the connection.
    CUT_SHORT: Closes the connection in the middle of the answer's body.
    CUT_HEAD: Closes the connection in the middle of the answer's head.
    SPOIL: Sends bytes that are not HTTP.
    EXTRA_AFTER: Sends the answer to another request after its own.
    OTHER_BEFORE: Sends the answer to another request before its own.
    UNFRAMED: Answers without Content-Length and closes the connection.
    SILENT: Sends nothing until the client closes the connection.
    UNAVAILABLE: Answers with 503, without `Not-Executed`.
    ENDLESS_HEAD: Sends headers until the client closes the connection.
    ENDLESS_BODY: Sends a body until the client closes the connection.
    ENDLESS_LENGTH: Announces and sends a body of 10^12 bytes.
    ENDLESS_CHUNKS: Sends chunks of two bytes until the client closes.
    ENDLESS_TRAILERS: Sends trailers until the client closes the connection.
    CRASH: Stops listening and resets all connections.
    """

    ANSWER = 'answer'
    SHED = 'shed'
    FAIL = 'fail'
    RESET = 'reset'
    CUT_SHORT = 'cut_short'
    CUT_HEAD = 'cut_head'
    SPOIL = 'spoil'
    EXTRA_AFTER = 'extra_after'
    OTHER_BEFORE = 'other_before'
    UNFRAMED = 'unframed'
    SILENT = 'silent'
    UNAVAILABLE = 'unavailable'
    ENDLESS_HEAD = 'endless_head'
    ENDLESS_BODY = 'endless_body'
    ENDLESS_LENGTH = 'endless_length'
    ENDLESS_CHUNKS = 'endless_chunks'
    ENDLESS_TRAILERS = 'endless_trailers'
    CRASH = 'crash'
    STATUS_LINE = 'status_line'


#: The connection is closed after these.
_CLOSING_BEHAVIOURS = frozenset(
    (Behaviour.CUT_SHORT, Behaviour.CUT_HEAD, Behaviour.UNFRAMED)
)
_CHUNKED_HEAD = (
    b'HTTP/1.1 200 OK\r\nServer-Stamp: x\r\nTransfer-Encoding: chunked\r\n\r\n'
)
#: What is sent first, and then again and again.
_ENDLESS_BY_BEHAVIOUR = MappingProxyType(
    {
        Behaviour.ENDLESS_HEAD: (
            b'HTTP/1.1 200 OK\r\n',
            b'X-More: more\r\n' * ENDLESS_REPEATS,
        ),
        Behaviour.ENDLESS_BODY: (
            b'HTTP/1.1 200 OK\r\nServer-Stamp: x\r\n\r\n',
            b'more' * ENDLESS_REPEATS,
        ),
        Behaviour.ENDLESS_LENGTH: (
            b'HTTP/1.1 200 OK\r\nServer-Stamp: x\r\n'
            b'Content-Length: 1000000000000\r\n\r\n',
            b'more' * ENDLESS_REPEATS,
        ),
        Behaviour.ENDLESS_CHUNKS: (
            _CHUNKED_HEAD,
            b'2\r\nmm\r\n' * ENDLESS_REPEATS,
        ),
        Behaviour.ENDLESS_TRAILERS: (
            b''.join((_CHUNKED_HEAD, b'1\r\nm\r\n0\r\n')),
            b'X-More: more\r\n' * ENDLESS_REPEATS,
        ),
    }
)


@dataclass(frozen=True, slots=True)
class SeenRequest:
    """One request as it arrived.

    Attributes:
        has_run: False if the searcher refused it.
        at: Arrival time in monotonic seconds.
    """

    method: bytes
    target: bytes
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    has_run: bool = False
    at: float = 0

    def header(self, name: bytes) -> bytes | None:
        """Return a header by its lower-case name."""
        return dict(self.headers).get(name)


@dataclass(slots=True)
class Announcements:
    """What the answers of a searcher say of itself.

    Attributes:
        is_leaving: Whether all its answers say that it is leaving.
        retry_after_seconds: What it adds to refusals, None for nothing.
        rate_limit: The requests per second that all its answers name, or None.
        status_line: The first line of its answers with `STATUS_LINE`.
    """

    is_leaving: bool = False
    retry_after_seconds: float | None = None
    rate_limit: float | None = None
    status_line: bytes = b''


@dataclass(slots=True)
class Crash:
    """When the process of a searcher ends.

    Attributes:
        content: Part of the targets of the requests under which it ends.
        has_ended: Whether it has ended.
    """

    content: bytes = b''
    has_ended: bool = False

    def ends_under(self, request: SeenRequest) -> bool:
        """Return whether the process ends once it has run a request."""
        return bool(self.content) and self.content in request.target


class PlatformSearcherStandIn:
    """One searcher that serves on threads.

    Attributes:
        work_seconds: Time that it takes for each request.
        next_behaviours: How it handles the next requests, in order.
        behaviour: How it handles requests once `next_behaviours` is empty.
        announced: What its answers say of itself.
        crash: When its process ends, and whether it has.
        seen: All requests that arrived.
        abandoned_connections: Connections closed by the client during a
            request that was handled with SILENT.
    """

    def __init__(
        self,
        address: str,
        searcher_id: str,
        records: Sequence[bytes] = (),
        work_seconds: float = 0,
    ) -> None:
        self.address = address
        self.searcher_id = searcher_id
        self.body = b''.join(records)
        self.work_seconds = work_seconds
        self.next_behaviours: deque[Behaviour] = deque()
        self.behaviour = Behaviour.ANSWER
        self.announced = Announcements()
        self.crash = Crash()
        self.seen: list[SeenRequest] = []
        self.abandoned_connections = 0
        self._listener = socket.create_server(
            split_address(address),
            backlog=BACKLOG,
        )
        self._connections: set[socket.socket] = set()

    def start(self) -> None:
        """Serve on threads."""
        threading.Thread(target=self._accept, daemon=True).start()

    def stop(self) -> None:
        """Stop listening and reset all connections."""
        self._stop_listening()
        for connection in tuple(self._connections):
            _reset(connection)

    def end(self) -> None:
        """Stop listening and close all connections, as a process that ends."""
        self.crash.has_ended = True
        self._stop_listening()
        for connection in tuple(self._connections):
            with suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)

    def signature(self, request_id: bytes) -> bytes:
        """Return the signature of the answer to one request."""
        return b'.'.join((self.searcher_id.encode(), request_id))

    def _stop_listening(self) -> None:
        with suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()

    def _accept(self) -> None:
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            self._connections.add(connection)
            threading.Thread(
                target=self._serve,
                args=(connection,),
                daemon=True,
            ).start()

    def _serve(self, connection: socket.socket) -> None:
        try:
            with connection:
                is_kept_alive = True
                while is_kept_alive:
                    is_kept_alive = self._serve_one(connection)
        except (OSError, h11.RemoteProtocolError):
            return
        finally:
            self._connections.discard(connection)

    def _serve_one(self, connection: socket.socket) -> bool:
        request = _read(connection)
        if request is None:
            return False
        behaviour = (
            self.next_behaviours.popleft()
            if self.next_behaviours
            else self.behaviour
        )
        expected = request.header(b'expect-instance')
        if expected not in {None, self.searcher_id.encode()}:
            self.seen.append(request)
            request_id = request.header(b'request-id') or b''
            connection.sendall(_head(HTTP_MISDIRECTED, request_id, b'no', 0))
            return True
        has_run = behaviour is not Behaviour.SHED
        self.seen.append(replace(request, has_run=has_run))
        time.sleep(self.work_seconds)
        if self.crash.ends_under(request):
            self.end()
            return False
        request_id = request.header(b'request-id') or b''
        return self._respond(connection, behaviour, request_id)

    def _respond(
        self,
        connection: socket.socket,
        behaviour: Behaviour,
        request_id: bytes,
    ) -> bool:
        if behaviour is Behaviour.SILENT:
            connection.recv(1)
            self.abandoned_connections += 1
            return False
        if behaviour is Behaviour.CRASH:
            self.stop()
            return False
        if behaviour is Behaviour.RESET:
            _reset(connection)
            return False
        endless = _ENDLESS_BY_BEHAVIOUR.get(behaviour)
        if endless is not None:
            _send_without_end(connection, *endless)
            return False
        response = self._response(behaviour, request_id)
        status_line, _, rest = response.partition(b'\r\n')
        if behaviour is Behaviour.STATUS_LINE:
            status_line = self.announced.status_line
        more = self._announcements(behaviour)
        connection.sendall(b'\r\n'.join([status_line, *more, rest]))
        return behaviour not in _CLOSING_BEHAVIOURS

    def _announcements(self, behaviour: Behaviour) -> list[bytes]:
        headers = [b'Server-Leaving: 1'] if self.announced.is_leaving else []
        if self.announced.rate_limit is not None:
            headers.append(b'Server-Limit: %g' % self.announced.rate_limit)
        if (
            behaviour is Behaviour.SHED
            and self.announced.retry_after_seconds is not None
        ):
            headers.append(
                b'Retry-After: %g' % self.announced.retry_after_seconds
            )
        return headers

    def _answer(
        self,
        request_id: bytes,
        signature: bytes,
        size: int | None,
    ) -> bytes:
        head = _head(HTTP_OK, request_id, signature, size)
        return b''.join((head, self.body))

    def _response(self, behaviour: Behaviour, request_id: bytes) -> bytes:
        signature, size = self.signature(request_id), len(self.body)
        answer = self._answer(request_id, signature, size)
        other = self._answer(b'another', b'other', size)
        shed = (
            b'HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\n'
            b'Request-Id: %b\r\nContent-Length: 0\r\n\r\n' % request_id
        )
        by_behaviour = {
            Behaviour.SHED: shed,
            Behaviour.FAIL: _head(HTTP_ERROR, request_id, signature, 0),
            Behaviour.UNAVAILABLE: _head(
                HTTP_UNAVAILABLE, request_id, signature, 0
            ),
            Behaviour.CUT_SHORT: answer[: -size // 2],
            Behaviour.CUT_HEAD: answer.partition(b'\r\n\r\n')[0],
            Behaviour.SPOIL: b'\x00\xffnothing of HTTP\r\n\r\n',
            Behaviour.EXTRA_AFTER: b''.join((answer, other)),
            Behaviour.OTHER_BEFORE: b''.join((other, answer)),
            Behaviour.UNFRAMED: self._answer(request_id, signature, None),
        }
        return by_behaviour.get(behaviour, answer)


def _send_without_end(
    connection: socket.socket, start: bytes, repeated: bytes
) -> None:
    connection.sendall(start)
    while True:
        connection.sendall(repeated)


def _read(connection: socket.socket) -> SeenRequest | None:
    http = h11.Connection(h11.SERVER)
    events: list[object] = []
    while not (events and isinstance(events[-1], h11.EndOfMessage)):
        event = http.next_event()
        if event is h11.NEED_DATA:
            http.receive_data(connection.recv(READ_BYTES))
        elif isinstance(event, h11.Request | h11.Data | h11.EndOfMessage):
            events.append(event)
        else:
            return None
    head = events[0]
    if not isinstance(head, h11.Request):
        return None
    chunks = [
        bytes(chunk.data) for chunk in events if isinstance(chunk, h11.Data)
    ]
    headers = tuple(
        (bytes(name), bytes(content)) for name, content in head.headers
    )
    return SeenRequest(
        head.method,
        head.target,
        headers,
        b''.join(chunks),
        at=time.monotonic(),
    )


def _head(
    status: int,
    request_id: bytes,
    signature: bytes,
    size: int | None,
) -> bytes:
    lines = [
        f'HTTP/1.1 {status} X'.encode(),
        b''.join((b'Server-Stamp: ', signature)),
    ]
    if request_id:
        lines.append(b''.join((b'Request-Id: ', request_id)))
    if size is None:
        lines.append(b'Connection: close')
    else:
        lines.append(f'Content-Length: {size}'.encode())
    return b'\r\n'.join([*lines, b'', b''])


def _reset(connection: socket.socket) -> None:
    with suppress(OSError):
        connection.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET
        )
        connection.close()
