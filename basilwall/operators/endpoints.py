"""HTTP endpoints for other programs: readiness, metrics and other VMs.

They are served by their own threads, so that they answer even while callers
keep this VM busy.
"""

import logging
import sys
import threading
from collections.abc import Callable, Iterator, Mapping
from contextlib import contextmanager
from functools import partial
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any

from basilwall.parts.clock import SystemClock
from basilwall.parts.log_limit import LogLimit

HTTP_NOT_FOUND = 404
HTTP_TOO_LARGE = 413
SHUTDOWN_POLL_SECONDS = 0.5

#: Connections that may wait to be accepted. The VMs of a zone connect all at
#: once after a change; one too many would be connected seconds later.
ACCEPT_QUEUE_LENGTH = 256
#: Requests with a longer body are refused unread.
MAX_BODY_BYTES = 1_048_576

#: Returns the status and the body of the response to a request body.
Endpoint = Callable[[bytes], tuple[int, bytes]]
#: Endpoints by path; the one at FALLBACK_PATH serves all other paths.
Endpoints = Mapping[str, Endpoint]
FALLBACK_PATH = ''
MAX_FAILURES_LOGGED_PER_SECOND = 10

_log = logging.getLogger(__name__)


@contextmanager
def endpoint_server(address: str, endpoints: Endpoints) -> Iterator[None]:
    """Serve HTTP endpoints for the length of a block.

    Args:
        address: The listening address, `host:port`.
        endpoints: The endpoints by path.

    Yields:
        Nothing.

    Raises:
        OSError: If the address can't be bound.
    """
    host, _, port = address.rpartition(':')
    handler: Any = partial(_EndpointHandler, endpoints)
    server = _Server((host, int(port)), handler)
    thread = threading.Thread(
        target=server.serve_forever,
        kwargs={'poll_interval': SHUTDOWN_POLL_SECONDS},
        daemon=True,
    )
    thread.start()
    try:
        yield
    finally:
        server.shutdown()
        server.server_close()


class _Server(ThreadingHTTPServer):
    daemon_threads = True
    allow_reuse_address = True
    request_queue_size = ACCEPT_QUEUE_LENGTH

    def __init__(self, address: tuple[str, int], handler: Any) -> None:
        super().__init__(address, handler)
        self._log_limit = LogLimit(
            MAX_FAILURES_LOGGED_PER_SECOND, SystemClock()
        )

    def handle_error(self, _: Any, client_address: Any) -> None:
        """Log why a connection ended, in place of a bare traceback."""
        error = sys.exception()
        not_logged_before = self._log_limit.take()
        if not_logged_before is None:
            return
        level = logging.INFO if isinstance(error, OSError) else logging.ERROR
        _log.log(
            level,
            'connection to an endpoint failed',
            exc_info=level == logging.ERROR,
            extra={
                'peer': ':'.join(map(str, client_address[:2])),
                'error': repr(error),
                'not_logged_before': not_logged_before,
            },
        )


class _EndpointHandler(BaseHTTPRequestHandler):
    protocol_version = 'HTTP/1.1'
    #: Connections that are idle for this long are closed, in seconds.
    timeout = 15

    def __init__(self, endpoints: Endpoints, *connection: Any) -> None:
        self._endpoints = endpoints
        super().__init__(*connection)

    def do_GET(self) -> None:
        """Respond to a GET request."""
        self._respond(b'')

    def do_POST(self) -> None:
        """Respond to a POST request."""
        length = self.headers.get('Content-Length', '')
        if not length.isdigit() or int(length) > MAX_BODY_BYTES:
            self.send_error(HTTP_TOO_LARGE)
            return
        self._respond(self.rfile.read(int(length)))

    def log_message(self, *_: Any) -> None:
        """Log nothing, because the endpoints are called every second."""

    def _respond(self, body: bytes) -> None:
        endpoint = self._endpoints.get(self.path) or self._endpoints.get(
            FALLBACK_PATH
        )
        status, content = endpoint(body) if endpoint else (HTTP_NOT_FOUND, b'')
        head = (
            f'HTTP/1.1 {status} {self.responses[status][0]}\r\n'
            'Content-Type: text/plain; charset=utf-8\r\n'
            f'Content-Length: {len(content)}\r\n\r\n'
        )
        self.wfile.write(b''.join((head.encode(), content)))
