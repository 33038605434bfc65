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
from threading import Event

from basilwall.forwarding.forwarder import Forwarder
from basilwall.ingress.answer_encoding import encode_head, has_body
from basilwall.ingress.codec import CallerCodec
from basilwall.ingress.open_connections import (
    OpenConnection,
    OpenConnections,
    Phase,
)
from basilwall.ingress.reading import (
    BadRequest,
    CallerGoneError,
    CompleteRequest,
    RequestReader,
)
from basilwall.ingress.request_memory import HeldMemory, RequestMemory
from basilwall.ingress.sending import AnswerSender
from basilwall.ingress.transfer import transfer_seconds
from basilwall.parts.clock import Clock
from basilwall.parts.listening_sockets import refuse_new_connections
from basilwall.parts.tasks import TaskGroup
from basilwall.records.forwarding import Answer, Call, Verdict
from basilwall.records.request_head import RequestHead
from basilwall.records.routes import CallerLimits

BACKLOG = 1024
#: How often the accepting task checks whether to stop.
ACCEPT_TIMEOUT_SECONDS = 0.5
#: Limits on the time and size of what is read after the last answer.
LINGER_SECONDS = 1.0
LINGER_BYTES = 16_777_216
READ_BYTES = 65_536

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
    connections: OpenConnections
    sender: AnswerSender
    request_memory: RequestMemory
    stop_state: StopState = field(default_factory=StopState)

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
        connection = self.connections.of(caller)
        reader = RequestReader(
            connection,
            self.limits,
            self.clock,
            lambda: self.stop_state.is_closing_idle,
            self.connections.make_room,
        )
        for number in itertools.count():
            is_first = not number
            if not self._serve_next(
                connection, reader, is_first_request=is_first
            ):
                return

    def _serve_next(
        self,
        connection: OpenConnection,
        reader: RequestReader,
        *,
        is_first_request: bool,
    ) -> bool:
        """Serve the next request; False if the connection must be closed."""
        with self.request_memory.held() as held:
            connection.enter(Phase.IDLE)
            request = reader.next_request(held.account)
            connection.enter(Phase.SERVING)
            if isinstance(request, BadRequest):
                self._reject(connection.caller, request)
                return False
            call, answer = self._answer(
                connection,
                request,
                held,
                is_first_request=is_first_request,
            )
            if answer.verdict is Verdict.CALLER_LEFT:
                return False
            held.replies.keep_only(len(answer.body))
            return self._send(connection, request.head, call, answer)

    def _answer(
        self,
        connection: OpenConnection,
        request: CompleteRequest,
        held: HeldMemory,
        *,
        is_first_request: bool,
    ) -> tuple[Call | None, Answer]:
        """Return a request, None if it can't be decoded, and its answer."""
        try:
            call = self.codec.decode_request(
                request.head, request.body, request.head_received_at
            )
            transfer = transfer_seconds(
                connection.caller, is_first_request=is_first_request
            )
        except Exception:
            _log.exception('request not decoded')
            return None, self.forwarder.failure(may_have_run=False)
        call = replace(
            call, transfer_seconds=transfer, held_replies=held.replies
        )
        # A connection that gives way would look like one whose caller left.
        watched = None if connection.is_giving_way else connection.caller
        try:
            return call, self.forwarder.serve(call, watched)
        except Exception:
            _log.exception('request failed', extra=_id_for_log(call))
            return call, self.forwarder.failure(may_have_run=True)

    def _send(
        self,
        connection: OpenConnection,
        request: RequestHead,
        call: Call | None,
        answer: Answer,
    ) -> bool:
        """Send an answer; False if the connection must be closed."""
        may_stay = not (self.stop_state.is_stopping or connection.is_giving_way)
        keep_alive = request.is_keep_alive and may_stay
        head, body = self._encode(call, answer, keep_alive=keep_alive)
        if not has_body(request.method, answer.status):
            body = b''
        self.sender.send(connection.caller, (head, body))
        try:
            self.forwarder.record_sent(answer)
        except Exception:
            _log.exception('sent answer not recorded', extra=_id_for_log(call))
        return keep_alive

    def _reject(self, caller: socket.socket, request: BadRequest) -> None:
        _log.info(
            'request rejected',
            extra={'status': request.status, 'detail': request.detail},
        )
        answer = Answer(Verdict.MALFORMED, request.status)
        if request.may_retry:
            # Its time is drawn, so that callers do not return together.
            refusal = self.forwarder.failure(may_have_run=False)
            answer = replace(answer, retry_after=refusal.retry_after)
        self.sender.send(caller, self._encode(None, answer, keep_alive=False))

    def _encode(
        self, call: Call | None, answer: Answer, *, keep_alive: bool
    ) -> tuple[bytes, bytes]:
        """Return head and body of an answer, or of the failure to encode it."""
        failure = self.forwarder.failure(may_have_run=True)
        for candidate in (answer, failure):
            try:
                headers = self.codec.encode_headers(call, candidate)
                head = encode_head(
                    candidate.status,
                    candidate.reason,
                    headers,
                    len(candidate.body),
                    keep_alive=keep_alive,
                )
            except Exception:
                _log.exception('answer not encoded', extra=_id_for_log(call))
            else:
                return head, candidate.body
        bare = encode_head(failure.status, b'', (), 0, keep_alive=False)
        return bare, b''


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
    if not ingress.connections.add(caller):
        _log.warning('connection closed at the connection limit')
        caller.close()
        return True
    try:
        tasks.start(partial(ingress.serve, caller))
    except RuntimeError as error:
        _log.warning(
            'connection closed, no thread', extra={'error': str(error)}
        )
        ingress.connections.discard(caller)
        caller.close()
    return True
