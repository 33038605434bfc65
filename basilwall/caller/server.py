"""The HTTP server for callers, built on waitress."""

import logging
import select
import socket
import threading
import time
from collections.abc import Callable, Iterator
from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager
from dataclasses import dataclass
from typing import Any

from waitress.channel import HTTPChannel
from waitress.server import TcpWSGIServer, create_server
from waitress.task import WSGITask

from basilwall.caller.app import CallerApp
from basilwall.parts import listening_sockets

#: Threads beyond the admission limit, so that a refusal never waits for one.
REFUSAL_THREADS = 8
BACKLOG = 1024
MAX_CONNECTIONS = 1024
#: A smaller unsent reply is written by its task, not by the server's loop.
MIN_LOOP_WRITE_BYTES = 65_536
#: A caller's idle connection is closed after this time.
IDLE_TIMEOUT_SECONDS = 30
POLL_INTERVAL_SECONDS = 0.02
#: How long the rest of a rejected request is read before the close.
LINGER_SECONDS = 2.0
#: Longest wait for the replies to the last accepted connections.
FINAL_REPLIES_SECONDS = 3.0

_log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class ListenConfig:
    """Address, worker threads and request size limit of the server."""

    address: str
    threads: int
    max_body_bytes: int


class _Task(WSGITask):
    """Answers one request, and closes the connection during a planned stop.

    WSGI applications may not send the `Connection` header. waitress sends
    `Connection: close` if the request contains it, so it is added there.
    """

    def build_response_header(self) -> bytes:
        channel: Any = self.channel
        request: Any = self.request
        if channel.is_stopping():
            request.headers['CONNECTION'] = 'close'
        return super().build_response_header()


class _Channel(HTTPChannel):
    """One caller's connection.

    Closing a socket with unread bytes resets the connection, and the caller may
    lose its reply. Therefore only the sending side is closed at first, and the
    rest of the caller's bytes is read for a while.
    """

    task_class = _Task

    def __init__(self, *connection: Any, **options: Any) -> None:
        #: When the lingering connection is closed, in monotonic seconds; 0 if
        #: it does not linger.
        self.linger_ends_at: float = 0
        self.has_received = False
        super().__init__(*connection, **options)

    @property
    def is_settled(self) -> bool:
        """True if no reply is due: none is unsent and no request is awaited."""
        if self.linger_ends_at:
            return True
        is_awaited = self.request is not None or not self.has_received
        return not (is_awaited or self.requests or self.total_outbufs_len)

    def received(self, received_bytes: bytes) -> bool:
        """Take bytes of the caller; see the base class."""
        self.has_received = True
        return bool(super().received(received_bytes))

    def handle_close(self) -> None:
        """Close the sending side; close the connection at the second call."""
        if self.linger_ends_at or not self._shut_down_writing():
            super().handle_close()

    def readable(self) -> bool:
        """Return whether to read; closes a connection at its linger limit."""
        if not self.linger_ends_at:
            return bool(super().readable())
        if time.monotonic() > self.linger_ends_at:
            self.handle_close()
            return False
        return True

    def writable(self) -> bool:
        """Return whether the server's loop has anything to write.

        A task writes its own reply. Meanwhile the loop would find the socket
        writable but the reply locked, and spin, which takes CPU time from that
        task.
        """
        if self.linger_ends_at:
            return False
        writing = 0 < self.total_outbufs_len < MIN_LOOP_WRITE_BYTES
        if self.requests and writing and not self.will_close:
            return False
        return bool(super().writable())

    def is_stopping(self) -> bool:
        server: Any = self.server
        return bool(server.caller_app.is_stopping)

    def _shut_down_writing(self) -> bool:
        """Close the sending side; False if the connection is already closed."""
        connection: Any = self.socket
        try:
            connection.shutdown(socket.SHUT_WR)
        except (OSError, AttributeError):
            return False
        self.will_close = True
        self.linger_ends_at = time.monotonic() + LINGER_SECONDS
        return True


class CallerServer:
    """A running HTTP server for callers."""

    def __init__(self, server: TcpWSGIServer) -> None:
        self._server = server

    def wait_flushed(self, timeout: float) -> bool:
        """Wait until every reply was passed to the operating system.

        Args:
            timeout: The longest wait, in seconds.

        Returns:
            False if replies were still unsent at the end.
        """
        pause = threading.Event()
        polls = int(timeout / POLL_INTERVAL_SECONDS) + 1
        for _ in range(polls):
            if not self._has_unsent_replies():
                return True
            pause.wait(POLL_INTERVAL_SECONDS)
        return False

    def refuse_new_connections(self) -> None:
        """Refuse new connections; the accepted ones are still served."""
        server: Any = self._server
        listening_sockets.refuse_new_connections(server.socket)

    def drain_backlog(self) -> None:
        """Refuse new connections and answer those already accepted.

        These include connections that the server's loop has not yet taken from
        the backlog, and those whose request has not yet arrived.
        """
        self.refuse_new_connections()
        pause = threading.Event()
        ends_at = time.monotonic() + FINAL_REPLIES_SECONDS
        while time.monotonic() < ends_at:
            if self._is_true_in_loop(self._is_settled, ends_at):
                return
            pause.wait(POLL_INTERVAL_SECONDS)
        _log.info('connections closed at the limit of a stop')

    def close(self) -> None:
        """Close the listener and all connections, which ends the loop."""
        server: Any = self._server
        server.trigger.pull_trigger(
            lambda: server.asyncore.close_all(server._map, ignore_all=True),
        )

    def _is_true_in_loop(
        self, condition: Callable[[], bool], ends_at: float
    ) -> bool:
        """Evaluate a condition between two iterations of the server's loop."""
        server: Any = self._server
        is_evaluated = threading.Event()
        found = []

        def evaluate() -> None:
            found.append(condition())
            is_evaluated.set()

        server.trigger.pull_trigger(evaluate)
        is_evaluated.wait(max(ends_at - time.monotonic(), 0))
        return any(found)

    def _is_settled(self) -> bool:
        """Return whether no connection has a request or a reply under way."""
        server: Any = self._server
        channels = tuple(server.active_channels.values())
        if not all(channel.is_settled for channel in channels):
            return False
        poll = select.poll()
        for polled in (server, *channels):
            poll.register(polled.socket, select.POLLIN)
        return not poll.poll(0)

    def _has_unsent_replies(self) -> bool:
        by_descriptor: Any = self._server.active_channels
        channels = tuple(by_descriptor.values())
        return any(
            channel.requests or channel.total_outbufs_len
            for channel in channels
        )


@contextmanager
def caller_server(
    app: CallerApp,
    config: ListenConfig,
) -> Iterator[CallerServer]:
    """Serve callers for the duration of a `with` block.

    Args:
        app: The WSGI application.
        config: The settings of the server.

    Yields:
        The running server.

    Raises:
        OSError: If the address cannot be bound.
    """
    server: Any = create_server(
        app,
        listen=config.address,
        threads=config.threads + REFUSAL_THREADS,
        max_request_body_size=config.max_body_bytes,
        backlog=BACKLOG,
        connection_limit=MAX_CONNECTIONS,
        ident='basilwall',
        channel_timeout=IDLE_TIMEOUT_SECONDS,
        asyncore_use_poll=True,
    )
    server.channel_class = _Channel
    server.caller_app = app
    with ThreadPoolExecutor(1, thread_name_prefix='callers') as pool:
        pool.submit(server.run)
        running = CallerServer(server)
        try:
            yield running
        finally:
            running.drain_backlog()
            running.close()
