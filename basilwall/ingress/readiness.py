"""Tells the balancer whether to send callers here, and shows the metrics.

Both are plain pages for the platform's own programs, on threads of their own
so that they are answered however busy callers keep this VM.
"""

import threading
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from functools import partial
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any

HTTP_OK = 200
HTTP_UNAVAILABLE = 503
POLL_SECONDS = 0.5

#: Returns status and text of a page.
Page = Callable[[], tuple[int, str]]


@contextmanager
def page_server(address: str, page: Page) -> Iterator[None]:
    """Serve one page at every path for the length of a block.

    Args:
        address: Where to listen, `host:port`.
        page: Makes the page.

    Yields:
        Nothing.

    Raises:
        OSError: If the address can't be bound.
    """
    host, _, port = address.rpartition(':')
    handler: Any = partial(_PageHandler, page)
    server = _Server((host, int(port)), handler)
    thread = threading.Thread(
        target=server.serve_forever,
        kwargs={'poll_interval': POLL_SECONDS},
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


class _PageHandler(BaseHTTPRequestHandler):
    protocol_version = 'HTTP/1.1'
    #: A connection that says nothing for this long is closed, in seconds.
    timeout = 15

    def __init__(self, page: Page, *connection: Any) -> None:
        self._page = page
        super().__init__(*connection)

    def do_GET(self) -> None:
        status, text = self._page()
        body = text.encode()
        self.send_response(status)
        self.send_header('Content-Type', 'text/plain; charset=utf-8')
        self.send_header('Content-Length', str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, *_: Any) -> None:
        """Say nothing: the pages are asked for every second."""
