"""Minimal HTTP client on top of http.client, for requests to searchers.

http.client parses reply headers with its e-mail parser, and sends headers and
body separately. This client reads the headers line by line, keeps only those
that concern framing, and sends a request in one piece. Anything that it does
not support raises an error, so a reply is never guessed.
"""

import http.client
from collections.abc import Iterable
from http import HTTPStatus

from basilwall.parts.http_status import StatusKind, kind_of_status

MAX_HEAD_LINES = 64
MAX_LINE_BYTES = 8192
_VERSIONS = {'HTTP/1.0': 10, 'HTTP/1.1': 11}
#: Headers that decide the end of a reply and the reuse of the connection.
_FRAMING = frozenset((b'content-length', b'transfer-encoding', b'connection'))


class MinimalHttpResponse(http.client.HTTPResponse):
    """Reply delimited by its length, its last chunk or the connection end."""

    def begin(self) -> None:
        """Read the status line and the headers.

        Raises:
            HTTPException: If they are incomplete, malformed or unsupported.
        """
        version, status = self._read_line()
        while status == HTTPStatus.CONTINUE:
            self._read_head()
            version, status = self._read_line()
        is_final = kind_of_status(status) is StatusKind.FINAL
        if version not in _VERSIONS or not is_final:
            raise http.client.HTTPException(
                'malformed or unsupported status line'
            )
        self.status = status
        self.version = _VERSIONS[version]
        head = self._read_head()
        self.chunked = b'transfer-encoding' in head
        self.chunk_left = None
        self.length = _content_length(head)
        has_close = b'close' in head.get(b'connection', b'')
        is_unbounded = self.length is None and not self.chunked
        self.will_close = has_close or is_unbounded or version == 'HTTP/1.0'

    def _read_line(self) -> tuple[str, int]:
        version, status, _ = self._read_status()  # type: ignore[attr-defined]
        return version, status

    def _read_and_discard_trailer(self) -> None:
        """Read the trailer after the last chunk; it must be complete."""
        line = self.fp.readline(MAX_LINE_BYTES)
        while line != b'\r\n':
            _split_header(line)
            line = self.fp.readline(MAX_LINE_BYTES)

    def _read_head(self) -> dict[bytes, bytes]:
        framing: dict[bytes, bytes] = {}
        for _ in range(MAX_HEAD_LINES):
            line = self.fp.readline(MAX_LINE_BYTES)
            if line == b'\r\n':
                return framing
            name, header_value = _split_header(line)
            if name not in _FRAMING:
                continue
            if framing.setdefault(name, header_value) != header_value:
                raise http.client.HTTPException('conflicting framing headers')
        raise http.client.HTTPException('too many header lines in the reply')


class MinimalHttpConnection(http.client.HTTPConnection):
    """Connection that sends each request in one piece."""

    response_class = MinimalHttpResponse
    _buffer: list[bytes]

    def prepare(self, path: str, headers: Iterable[tuple[str, str]]) -> None:
        """Buffer the headers of a POST; `endheaders` sends them with the body.

        Args:
            path: The path, percent-encoded.
            headers: All headers except Host.

        Raises:
            ValueError: If a header has characters that can't be sent.
            HTTPException: If another request is still in progress.
        """
        self.putrequest('POST', path, skip_host=True, skip_accept_encoding=True)
        lines = [f'{name}: {text}' for name, text in headers]
        lines.append(f'Host: {self.host}:{self.port}')
        if not all(map(str.isprintable, lines)):
            raise ValueError('header has unprintable characters')
        self._buffer.append('\r\n'.join(lines).encode('latin-1'))

    def _send_output(
        self,
        message_body: bytes | None = None,
        encode_chunked: bool = False,
    ) -> None:
        self._buffer.extend((b'', message_body or b''))
        message = b'\r\n'.join(self._buffer)
        self._buffer.clear()
        self.send(message)


def _split_header(line: bytes) -> tuple[bytes, bytes]:
    name, colon, header_value = line.lower().partition(b':')
    is_complete = colon and line.endswith(b'\r\n')
    if not is_complete or not name or name != name.strip():
        raise http.client.HTTPException('malformed header line')
    return name, header_value.strip()


def _content_length(head: dict[bytes, bytes]) -> int | None:
    length_text = head.get(b'content-length')
    transfer_coding = head.get(b'transfer-encoding')
    if transfer_coding is not None:
        if transfer_coding != b'chunked' or length_text is not None:
            raise http.client.HTTPException(
                'transfer coding is not chunked, or has a Content-Length too'
            )
        return None
    if length_text is not None and not length_text.isdigit():
        raise http.client.HTTPException('Content-Length is not a number')
    return None if length_text is None else int(length_text)
