"""Small HTTP pages for other programs: readiness, metrics, other VMs.

They have threads of their own, so that they are answered however busy callers
keep this VM.
"""

import threading
from collections.abc import Callable, Iterator, Mapping
from contextlib import contextmanager
from functools import partial
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any

HTTP_NOT_FOUND = 404
HTTP_TOO_LARGE = 413
SHUTDOWN_POLL_SECONDS = 0.5

#: A longer body is not read, in bytes.
MAX_BODY_BYTES = 1_048_576

#: Returns status and content of a page, for the body that was sent.
Endpoint = Callable[[bytes], tuple[int, bytes]]
#: Pages by path; the one at ANY_PATH stands for all others.
Endpoints = Mapping[str, Endpoint]
FALLBACK_PATH = ''


@contextmanager
def endpoint_server(address: str, pages: Endpoints) -> Iterator[None]:
    """Serve pages for the length of a block.

    Args:
        address: Where to listen, `host:port`.
        pages: What makes them.

    Yields:
        Nothing.

    Raises:
        OSError: If the address can't be bound.
    """
    host, _, port = address.rpartition(':')
    handler: Any = partial(_EndpointHandler, pages)
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


class _EndpointHandler(BaseHTTPRequestHandler):
    protocol_version = 'HTTP/1.1'
    #: A connection that says nothing for this long is closed, in seconds.
    timeout = 15

    def __init__(self, pages: Endpoints, *connection: Any) -> None:
        self._pages = pages
        super().__init__(*connection)

    def do_GET(self) -> None:
        """Answer with the page."""
        self._answer(b'')

    def do_POST(self) -> None:
        """Answer with the page for a body."""
        length = self.headers.get('Content-Length', '')
        if not length.isdigit() or int(length) > MAX_BODY_BYTES:
            self.send_error(HTTP_TOO_LARGE)
            return
        self._answer(self.rfile.read(int(length)))

    def log_message(self, *_: Any) -> None:
        """Say nothing: the pages are asked for every second."""

    def _answer(self, body: bytes) -> None:
        page = self._pages.get(self.path) or self._pages.get(FALLBACK_PATH)
        status, content = page(body) if page else (HTTP_NOT_FOUND, b'')
        head = (
            f'HTTP/1.1 {status} {self.responses[status][0]}\r\n'
            'Content-Type: text/plain; charset=utf-8\r\n'
            f'Content-Length: {len(content)}\r\n\r\n'
        )
        self.wfile.write(b''.join((head.encode(), content)))
