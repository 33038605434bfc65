"""Parses the head of a request, and a body in chunks.

The parser in C (httptools) doesn't tell where in the bytes a message ends, and
the bytes of the next request may follow. A head and a chunked body both end
with an empty line, so they are fed up to the end of one empty line after the
other, until they are complete.
"""

import re
from collections.abc import Callable
from dataclasses import dataclass

import httptools

from basilwall.records.forwarding import RawHeaders
from basilwall.records.request_head import RequestHead

EMPTY_LINE = b'\r\n\r\n'
#: Beside the body, what its framing may take for each byte of its limit: a
#: chunk of one byte takes five more.
FRAMING_RATIO = 8
FRAMING_BYTES = 16_384
HEADER_WHITESPACE = b' \t'
HTTP_BAD_REQUEST = 400
HTTP_TOO_LARGE = 413
HTTP_NOT_IMPLEMENTED = 501
HTTP_VERSION_NOT_SUPPORTED = 505
_CHUNKED = b'chunked'
_CHUNKED_HEAD = b'POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n'
#: That of a method which the parser doesn't know is no malformed one.
_REQUEST_LINE = re.compile(
    rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+ [!-~]+ HTTP/1\.[01]\r\n"
)
_PERSISTENT_VERSION = '1.1'
_VERSIONS = frozenset(('1.0', _PERSISTENT_VERSION))


class UnreadableRequestError(Exception):
    """The request can't be read; `status` is for the answer."""

    def __init__(self, status: int, detail: str) -> None:
        super().__init__(detail)
        self.status = status


@dataclass(frozen=True, slots=True)
class Framing:
    """How the body of a request is delimited.

    `length` is its length in bytes, None if it is sent in chunks. `expects` is
    True if the caller waits for an interim response before it sends it.
    """

    length: int | None
    expects: bool


def parse_head(head_bytes: bytes) -> tuple[RequestHead, Framing]:
    """Parse a head, with the empty line that ends it.

    Raises:
        UnreadableRequestError: If it is no head, or not one of a request that
            this VM can forward.
    """
    collector = _HeadCollector()
    parser = httptools.HttpRequestParser(collector)
    collector.ask_keep_alive = parser.should_keep_alive
    try:
        parser.feed_data(head_bytes)
    except httptools.HttpParserUpgrade:
        # No other protocol is spoken here, so an offer of one is ignored.
        collector.is_complete = True
    except httptools.HttpParserInvalidMethodError as error:
        is_proper = _REQUEST_LINE.match(head_bytes)
        status = HTTP_NOT_IMPLEMENTED if is_proper else HTTP_BAD_REQUEST
        raise UnreadableRequestError(status, str(error)) from error
    except httptools.HttpParserError as error:
        raise UnreadableRequestError(HTTP_BAD_REQUEST, str(error)) from error
    finally:
        # It refers to the parser, which refers to the collector.
        collector.ask_keep_alive = bool
    if not collector.is_complete:
        raise UnreadableRequestError(HTTP_BAD_REQUEST, 'malformed head')
    version = parser.get_http_version()
    if version not in _VERSIONS:
        raise UnreadableRequestError(HTTP_VERSION_NOT_SUPPORTED, version)
    is_persistent = version == _PERSISTENT_VERSION
    head = RequestHead(
        parser.get_method(),
        collector.target,
        tuple(collector.headers),
        is_keep_alive=is_persistent and collector.is_keep_alive,
    )
    return head, _framing(head, is_persistent=is_persistent)


class ChunkedBodyParser:
    """Parses a body in chunks; `body` holds what has come of it."""

    def __init__(self, max_bytes: int) -> None:
        """Start before the first chunk.

        Args:
            max_bytes: The longest body that is allowed.
        """
        self.body = bytearray()
        self.is_complete = False
        self._max_bytes = max_bytes
        self._is_too_long = False
        self._wire_bytes_left = max_bytes * FRAMING_RATIO + FRAMING_BYTES
        self._parser: httptools.HttpRequestParser | None = (
            httptools.HttpRequestParser(self)
        )
        #: The last bytes fed, which may begin an empty line.
        self._tail = b''
        self._parser.feed_data(_CHUNKED_HEAD)

    def feed(self, received: bytes) -> bytes:
        """Parse the next bytes and return those after the body.

        Raises:
            UnreadableRequestError: If they are no chunks, or too many.
        """
        start = 0
        while start < len(received) and not self.is_complete:
            end = self._end_of_next_line(received, start)
            allowed = min(end, start + self._wire_bytes_left)
            self._feed(received[start:allowed])
            if allowed < end and not self.is_complete:
                self._is_too_long = True
            if self._is_too_long:
                raise UnreadableRequestError(
                    HTTP_TOO_LARGE,
                    f'the body is longer than {self._max_bytes} bytes',
                )
            start = end
        return received[start:]

    def close(self) -> None:
        """Drop the parser, which refers to this object in turn."""
        self._parser = None

    def on_body(self, piece: bytes) -> None:
        """Append a piece of the body."""
        if len(self.body) + len(piece) > self._max_bytes:
            self._is_too_long = True
            raise ValueError('the body is too long')
        self.body += piece

    def on_message_complete(self) -> None:
        """Note the end of the body."""
        self.is_complete = True

    def _end_of_next_line(self, received: bytes, start: int) -> int:
        """Return where the next empty line ends, or all that was received."""
        if start == 0:
            overlap = len(self._tail)
            position = (self._tail + received[:3]).find(EMPTY_LINE)
            self._tail = (self._tail + received[-3:])[-3:]
            if position >= 0:
                return position + len(EMPTY_LINE) - overlap
        position = received.find(EMPTY_LINE, start)
        return len(received) if position < 0 else position + len(EMPTY_LINE)

    def _feed(self, piece: bytes) -> None:
        self._wire_bytes_left -= len(piece)
        if self._parser is None:
            return
        try:
            self._parser.feed_data(piece)
        except httptools.HttpParserError as error:
            if not self._is_too_long:
                raise UnreadableRequestError(
                    HTTP_BAD_REQUEST, str(error)
                ) from error


class _HeadCollector:
    """Callbacks of the parser; collects the request line and the headers."""

    def __init__(self) -> None:
        self.target = b''
        self.headers: list[tuple[bytes, bytes]] = []
        self.is_complete = False
        self.is_keep_alive = False
        #: Known to the parser until the end of the message only.
        self.ask_keep_alive: Callable[[], bool] = bool

    def on_url(self, piece: bytes) -> None:
        """Append a piece of the request target."""
        self.target += piece

    def on_header(self, name: bytes, text: bytes) -> None:
        """Append a header."""
        self.headers.append((name, text.strip(HEADER_WHITESPACE)))

    def on_headers_complete(self) -> None:
        """Note the end of the head."""
        self.is_complete = True
        self.is_keep_alive = self.ask_keep_alive()


def _framing(head: RequestHead, *, is_persistent: bool) -> Framing:
    """Return how the body of a request is delimited.

    Raises:
        UnreadableRequestError: If that is ambiguous, or the request is no
            request to a server.
    """
    if not head.target.startswith(b'/'):
        raise UnreadableRequestError(
            HTTP_BAD_REQUEST, 'the request target is not a path'
        )
    if is_persistent and _count(head.headers, b'host') != 1:
        raise UnreadableRequestError(
            HTTP_BAD_REQUEST, 'not exactly one Host header'
        )
    coding = head.headers_by_name.get(b'transfer-encoding')
    if coding is not None:
        is_single = _count(head.headers, b'transfer-encoding') == 1
        if coding.lower() != _CHUNKED or not is_single or not is_persistent:
            raise UnreadableRequestError(
                HTTP_NOT_IMPLEMENTED, 'the transfer coding is not chunked'
            )
        return Framing(None, _expects(head, is_persistent=is_persistent))
    length = int(head.headers_by_name.get(b'content-length') or 0)
    return Framing(length, _expects(head, is_persistent=is_persistent))


def _expects(head: RequestHead, *, is_persistent: bool) -> bool:
    expected = head.headers_by_name.get(b'expect', b'')
    return is_persistent and expected.lower() == b'100-continue'


def _count(headers: RawHeaders, name: bytes) -> int:
    return sum(one.lower() == name for one, _ in headers)
