"""A small threaded HTTP server for the stand-ins."""

import socket
import socketserver
import threading
from contextlib import suppress
from http.server import BaseHTTPRequestHandler
from typing import Any

import msgspec

BACKLOG = 512
POLL_SECONDS = 0.05


class StandInHandler(BaseHTTPRequestHandler):
    """Handles a persistent HTTP/1.1 connection with JSON bodies."""

    protocol_version = 'HTTP/1.1'
    disable_nagle_algorithm = True

    def read_body(self) -> bytes:
        """Return the whole body of the request."""
        return self.rfile.read(int(self.headers.get('Content-Length') or 0))

    def reply(self, status: int, body: bytes) -> None:
        """Send a reply in one write."""
        head = (
            f'HTTP/1.1 {status} .\r\n'
            'Content-Type: application/json\r\n'
            f'Content-Length: {len(body)}\r\n'
            f'{self.extra_headers()}\r\n'
        )
        self.wfile.write(head.encode() + body)

    def extra_headers(self) -> str:
        """Return the lines of further headers of each reply."""
        return ''

    def reply_json(self, status: int, body: Any) -> None:
        """Send a JSON reply."""
        self.reply(status, msgspec.json.encode(body))

    def log_message(self, *_: Any) -> None:
        """Suppress the access log; stand-ins record requests instead."""


class SilencedHandler(StandInHandler):
    """Handles a connection of a stand-in that can fall silent."""

    stand_in: 'HttpStandIn'

    def setup(self) -> None:
        """Prepare to handle a new connection."""
        super().setup()
        #: Nothing more comes on it, since a request or reply was lost.
        self._is_lost = False

    def parse_request(self) -> bool:
        """Read the head of a request; one that comes in silence is lost."""
        return super().parse_request() and not self._loses_now()

    def reply(self, status: int, body: bytes) -> None:
        """Send a reply in one write, unless it is lost."""
        if not self._loses_now():
            super().reply(status, body)

    def _loses_now(self) -> bool:
        self._is_lost = self._is_lost or self.stand_in.is_silent
        return self._is_lost


class StandInServer(socketserver.ThreadingTCPServer):
    """Serves each connection on a daemon thread.

    Open connections do not delay the exit of the process.
    """

    allow_reuse_address = True
    daemon_threads = True
    block_on_close = False
    request_queue_size = BACKLOG

    def __init__(
        self,
        address: tuple[str, int],
        handler: type[StandInHandler],
    ) -> None:
        super().__init__(address, handler)
        self.connections: set[socket.socket] = set()

    def start(self) -> None:
        """Accept connections on a new thread."""
        threading.Thread(
            target=self.serve_forever,
            kwargs={'poll_interval': POLL_SECONDS},
            daemon=True,
        ).start()

    def stop(self) -> None:
        """Stop listening and shut down all connections."""
        self.shutdown()
        self.server_close()
        self.cut_connections()

    def process_request(self, request: Any, client_address: Any) -> None:
        """Register the connection and serve it on a thread."""
        self.connections.add(request)
        super().process_request(request, client_address)

    def shutdown_request(self, request: Any) -> None:
        """Unregister the connection and close it."""
        self.connections.discard(request)
        super().shutdown_request(request)

    def cut_connections(self) -> None:
        """Shut down all connections, as the end of a process does."""
        for connection in tuple(self.connections):
            with suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)

    def handle_error(self, request: Any, client_address: Any) -> None:
        """Ignore errors of connections that the peer closed."""


class HttpStandIn:
    """Base of stand-ins that serve HTTP on threads.

    Attributes:
        is_silent: Requests and replies are lost, and what follows on their
            connections.
    """

    #: Class of the handlers; `stand_in` is set on a subclass of it.
    handler_class: type[StandInHandler]

    def __init__(self, address: str) -> None:
        self.address = address
        self.is_silent = False
        self._server: StandInServer | None = None

    def start(self) -> None:
        """Listen and serve on threads."""
        handler = type('Handler', (self.handler_class,), {'stand_in': self})
        self._server = StandInServer(split_address(self.address), handler)
        self._server.start()

    def stop(self) -> None:
        """Stop listening and shut down all connections."""
        server, self._server = self._server, None
        if server is not None:
            server.stop()

    def cut_connections(self) -> None:
        """Shut down all connections and keep listening."""
        if self._server is not None:
            self._server.cut_connections()


def split_address(address: str) -> tuple[str, int]:
    """Return host and port of `host:port`."""
    host, _, port = address.rpartition(':')
    return host, int(port)
