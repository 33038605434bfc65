"""Accepts callers' connections and serves each in its own task."""

import itertools
import logging
import math
import socket
from collections.abc import Callable, Iterator
from concurrent.futures import Future
from contextlib import contextmanager, suppress
from dataclasses import dataclass, field, replace
from functools import partial
from http import HTTPStatus
from threading import Event

import h11

from basilwall.forwarding.forwarder import Forwarder
from basilwall.ingress.codec import CallerCodec
from basilwall.ingress.reading import (
    BadRequest,
    CallerGoneError,
    CompleteRequest,
    RequestReader,
)
from basilwall.ingress.sending import AnswerSender
from basilwall.ingress.transfer import transfer_seconds
from basilwall.parts.clock import Clock
from basilwall.parts.held_replies import HeldReplies
from basilwall.parts.listening_sockets import refuse_new_connections
from basilwall.parts.tasks import TaskGroup
from basilwall.records.forwarding import Answer, Call, Verdict
from basilwall.records.routes import CallerLimits

BACKLOG = 1024
#: How often the accepting task checks whether to stop.
ACCEPT_TIMEOUT_SECONDS = 0.5
#: Limits on the time and size of what is read after the last answer.
LINGER_SECONDS = 1.0
LINGER_BYTES = 16_777_216
READ_BYTES = 65_536

#: Other statuses have no phrase.
_PHRASE_BY_STATUS = {
    status.value: status.phrase.encode() for status in HTTPStatus
}

_log = logging.getLogger(__name__)


@dataclass(slots=True)
class StopState:
    """The progress of a planned stop."""

    #: Each connection is closed after its next answer.
    is_stopping: bool = False
    #: Idle connections are closed.
    is_closing_idle: bool = False
    #: When the last answers are given, in monotonic seconds.
    ends_at: float = math.inf


@dataclass(frozen=True, slots=True)
class Ingress:
    """Serves callers' connections; shared by all of their tasks."""

    forwarder: Forwarder
    codec: CallerCodec
    limits: Callable[[], CallerLimits]
    clock: Clock
    max_connections: int
    sender: AnswerSender
    stop_state: StopState = field(default_factory=StopState)
    connections: set[socket.socket] = field(default_factory=set)

    def serve(self, caller: socket.socket) -> None:
        """Serve one connection until it ends."""
        try:
            self._serve_requests(caller)
        except CallerGoneError:
            _log.debug('caller disconnected')
        except OSError as error:
            _log.info('connection failed', extra={'error': str(error)})
        except Exception:
            _log.exception('connection failed')
        finally:
            self.connections.discard(caller)
            _close_lingering(caller)

    def _serve_requests(self, caller: socket.socket) -> None:
        caller.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        reader = RequestReader(
            caller,
            self.limits,
            self.clock,
            lambda: self.stop_state.is_closing_idle,
        )
        for number in itertools.count():
            request = reader.next_request()
            if isinstance(request, BadRequest):
                self._reject(caller, reader.http, request)
                return
            with _held_replies() as held_replies:
                call, answer = self._answer(
                    caller,
                    request,
                    held_replies,
                    is_first_request=not number,
                )
                if answer.verdict is Verdict.CALLER_LEFT:
                    return
                held_replies.keep_only(len(answer.body))
                if not self._send(caller, reader.http, call, answer):
                    return

    def _answer(
        self,
        caller: socket.socket,
        request: CompleteRequest,
        held_replies: HeldReplies,
        *,
        is_first_request: bool,
    ) -> tuple[Call | None, Answer]:
        """Return a request, None if it can't be decoded, and its answer."""
        try:
            call = self.codec.decode_request(
                request.head, request.body, request.head_received_at
            )
            transfer = transfer_seconds(
                caller, is_first_request=is_first_request
            )
        except Exception:
            _log.exception('request not decoded')
            return None, self.forwarder.failure(may_have_run=False)
        call = replace(
            call, transfer_seconds=transfer, held_replies=held_replies
        )
        try:
            return call, self.forwarder.serve(call, caller)
        except Exception:
            _log.exception('request failed', extra=_id_for_log(call))
            return call, self.forwarder.failure(may_have_run=True)

    def _send(
        self,
        caller: socket.socket,
        http: h11.Connection,
        call: Call | None,
        answer: Answer,
    ) -> bool:
        """Send an answer; False if the connection must be closed."""
        stays_open = not self.stop_state.is_stopping
        self.sender.send(
            caller, self._encode(http, call, answer, keep_alive=stays_open)
        )
        try:
            self.forwarder.record_sent(answer)
        except Exception:
            _log.exception('sent answer not recorded', extra=_id_for_log(call))
        return stays_open and http.our_state is h11.DONE

    def _reject(
        self,
        caller: socket.socket,
        http: h11.Connection,
        request: BadRequest,
    ) -> None:
        _log.info(
            'request rejected',
            extra={'status': request.status, 'detail': request.detail},
        )
        if http.our_state in {h11.IDLE, h11.SEND_RESPONSE}:
            answer = Answer(Verdict.MALFORMED, request.status)
            self.sender.send(
                caller, self._encode(http, None, answer, keep_alive=False)
            )

    def _encode(
        self,
        http: h11.Connection,
        call: Call | None,
        answer: Answer,
        *,
        keep_alive: bool,
    ) -> list[bytes]:
        head, body = self._encode_head_safely(call, answer, keep_alive)
        parts = [http.send(head) or b'']
        if body and (call is None or call.method != b'HEAD'):
            parts.append(http.send(h11.Data(data=body)) or b'')
        parts.append(http.send(h11.EndOfMessage()) or b'')
        return parts

    def _encode_head_safely(
        self, call: Call | None, answer: Answer, keep_alive: bool
    ) -> tuple[h11.Response, bytes]:
        """Return head and body of an answer, or of the failure to encode it."""
        failure = self.forwarder.failure(may_have_run=True)
        for candidate in (answer, failure):
            try:
                head = self._encode_head(call, candidate, keep_alive=keep_alive)
            except Exception:
                _log.exception('answer not encoded', extra=_id_for_log(call))
            else:
                return head, candidate.body
        bare = h11.Response(
            status_code=failure.status,
            headers=[(b'Content-Length', b'0'), (b'Connection', b'close')],
        )
        return bare, b''

    def _encode_head(
        self, call: Call | None, answer: Answer, *, keep_alive: bool
    ) -> h11.Response:
        headers = self.codec.encode_headers(call, answer)
        headers.append((b'Content-Length', str(len(answer.body)).encode()))
        if not keep_alive:
            headers.append((b'Connection', b'close'))
        return h11.Response(
            status_code=answer.status,
            headers=headers,
            reason=answer.reason or _PHRASE_BY_STATUS.get(answer.status, b''),
        )


@contextmanager
def _held_replies() -> Iterator[HeldReplies]:
    """Count the replies that a request holds until the end of the block."""
    held_replies = HeldReplies()
    try:
        yield held_replies
    finally:
        held_replies.close()


def _id_for_log(call: Call | None) -> dict[str, bytes]:
    return {'request': call.request_id if call else b''}


def _close_lingering(caller: socket.socket) -> None:
    """Close a connection so that the caller can still read its last answer.

    Closing a socket with unread bytes resets the connection, and the caller may
    lose the answer. Therefore only the sending side is closed at first, and the
    caller's bytes are read until it closes too or a limit is reached.
    """
    with suppress(OSError):
        caller.shutdown(socket.SHUT_WR)
        caller.settimeout(LINGER_SECONDS)
        for _ in range(LINGER_BYTES // READ_BYTES):
            if not caller.recv(READ_BYTES):
                break
    with suppress(OSError):
        caller.close()


class Acceptor:
    """The task that accepts callers' connections until it is closed."""

    def __init__(self, accept_task: Future[None], stopping: Event) -> None:
        self._accept_task = accept_task
        self._stopping = stopping

    def close(self) -> None:
        """Refuse new connections, accept those in the backlog, and stop."""
        self._stopping.set()
        self._accept_task.result()


@contextmanager
def ingress_server(
    ingress: Ingress,
    address: str,
    tasks: TaskGroup,
) -> Iterator[Acceptor]:
    """Serve callers for the duration of a `with` block.

    Args:
        ingress: Serves each connection.
        address: The address to listen on, `host:port`.
        tasks: Runs the accepting task and one task per connection.

    Yields:
        The acceptor, which the caller may close earlier.

    Raises:
        OSError: If the address can't be bound.
    """
    host, _, port = address.rpartition(':')
    listener = socket.create_server((host, int(port)), backlog=BACKLOG)
    listener.settimeout(ACCEPT_TIMEOUT_SECONDS)
    stopping = Event()
    accept_task = tasks.start(
        partial(_accept_until_stopped, listener, ingress, tasks, stopping),
    )
    acceptor = Acceptor(accept_task, stopping)
    try:
        yield acceptor
    finally:
        acceptor.close()


def _accept_until_stopped(
    listener: socket.socket,
    ingress: Ingress,
    tasks: TaskGroup,
    stopping: Event,
) -> None:
    with listener:
        while not stopping.is_set():
            try:
                _accept_next(listener, ingress, tasks)
            except Exception:
                _log.exception('connection not accepted')
                stopping.wait(ACCEPT_TIMEOUT_SECONDS)
        refuse_new_connections(listener)
        listener.settimeout(0)
        while _accept_next(listener, ingress, tasks):
            _log.debug('accepted a connection from the backlog')


def _accept_next(
    listener: socket.socket,
    ingress: Ingress,
    tasks: TaskGroup,
) -> bool:
    """Accept the next connection; False if there is none."""
    try:
        caller, _ = listener.accept()
    except (TimeoutError, BlockingIOError):
        return False
    except OSError as error:
        _log.warning('connection not accepted', extra={'error': str(error)})
        Event().wait(ACCEPT_TIMEOUT_SECONDS)
        return False
    if len(ingress.connections) >= ingress.max_connections:
        _log.warning('connection closed at the connection limit')
        caller.close()
        return True
    ingress.connections.add(caller)
    try:
        tasks.start(partial(ingress.serve, caller))
    except RuntimeError as error:
        _log.warning(
            'connection closed, no thread', extra={'error': str(error)}
        )
        ingress.connections.discard(caller)
        caller.close()
    return True
