"""The HTTP server towards callers."""

import socket
import threading
import time
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager
from dataclasses import dataclass
from typing import Any

from waitress.channel import HTTPChannel
from waitress.server import TcpWSGIServer, create_server
from waitress.task import WSGITask

from basilwall.caller.app import CallerApp
from basilwall.parts.listening_sockets import refuse_new_connections

#: Threads beyond the admission cap, so that a refusal never waits.
REFUSAL_THREADS = 8
BACKLOG = 1024
MAX_CONNECTIONS = 1024
#: Below this a reply is left to the task that writes it, in bytes.
MIN_LOOP_WRITE_BYTES = 65_536
#: An idle connection of a caller is closed after this time.
IDLE_TIMEOUT_SECONDS = 30
POLL_INTERVAL_SECONDS = 0.02
#: How long the rest of a rejected request is read before the close.
LINGER_SECONDS = 2.0
#: The longest wait for answers to connections made at the very end.
FINAL_REPLIES_SECONDS = 3.0


@dataclass(frozen=True, slots=True)
class ListenConfig:
    """Where and how callers are served; `body_bytes` caps a request."""

    address: str
    threads: int
    max_body_bytes: int


class _Task(WSGITask):
    """Answers one request, and ends the connection while stopping.

    An application may not send `Connection` itself; the library sends it if
    the request asked for it.
    """

    def build_response_header(self) -> bytes:
        channel: Any = self.channel
        request: Any = self.request
        if channel.is_stopping():
            request.headers['CONNECTION'] = 'close'
        return super().build_response_header()


class _Channel(HTTPChannel):
    """One caller's connection.

    A close with unread bytes would reset it, and the answer with it, so what
    the caller still sends is read for a while first.
    """

    task_class = _Task

    def __init__(self, *connection: Any, **options: Any) -> None:
        #: When a connection that was answered is closed, monotonic; or 0.
        self.closes_at: float = 0
        super().__init__(*connection, **options)

    def handle_close(self) -> None:
        """Close, at first only towards the caller."""
        if self.closes_at or not self._shut_down_writing():
            super().handle_close()

    def readable(self) -> bool:
        """Return whether to read; ends a connection that lingered enough."""
        if not self.closes_at:
            return bool(super().readable())
        if time.monotonic() > self.closes_at:
            self.handle_close()
            return False
        return True

    def writable(self) -> bool:
        """Return whether the server's loop has anything to write.

        A task writes its reply itself. The loop would meanwhile find the
        socket writable and the reply locked, again and again, and take the
        processor from the very task that it waits for.
        """
        if self.closes_at:
            return False
        writing = 0 < self.total_outbufs_len < MIN_LOOP_WRITE_BYTES
        if self.requests and writing and not self.will_close:
            return False
        return bool(super().writable())

    def is_stopping(self) -> bool:
        server: Any = self.server
        return bool(server.caller_app.is_stopping)

    def _shut_down_writing(self) -> bool:
        """End the answers; False if the connection is gone already."""
        connected: Any = self.socket
        try:
            connected.shutdown(socket.SHUT_WR)
        except (OSError, AttributeError):
            return False
        self.will_close = True
        self.closes_at = time.monotonic() + LINGER_SECONDS
        return True


class CallerServer:
    """A running server."""

    def __init__(self, server: TcpWSGIServer) -> None:
        self._server = server

    def wait_flushed(self, timeout: float) -> bool:
        """Wait until every reply was handed to the system.

        Args:
            timeout: The longest wait, in seconds.

        Returns:
            False if replies were still unsent at the end.
        """
        waiting = threading.Event()
        polls = int(timeout / POLL_INTERVAL_SECONDS) + 1
        for _ in range(polls):
            if not self._has_unsent_replies():
                return True
            waiting.wait(POLL_INTERVAL_SECONDS)
        return False

    def drain_backlog(self) -> None:
        """Take the connections that were made, and no new ones, and answer."""
        server: Any = self._server
        refuse_new_connections(server.socket)
        waiting = threading.Event()
        for _ in range(int(FINAL_REPLIES_SECONDS / POLL_INTERVAL_SECONDS)):
            # The loop takes what waits within one of its rounds.
            waiting.wait(POLL_INTERVAL_SECONDS)
            if not self._has_unsent_replies():
                break

    def close(self) -> None:
        """Close the listener and all connections, so that the loop ends."""
        server: Any = self._server
        server.trigger.pull_trigger(
            lambda: server.asyncore.close_all(server._map, ignore_all=True),
        )

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
    """Serve callers for the length of a block.

    Args:
        app: The application.
        config: Where and how.

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
