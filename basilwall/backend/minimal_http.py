"""A lean exchange on top of http.client, for replies of searchers.

http.client hands the head of a reply to the parser of e-mail messages, and
sends head and body apart. Here the head is read line by line into a plain
mapping and a request goes out in one send. Whatever this reader doesn't know
ends the exchange with an error, so that no reply is ever guessed.
"""

import http.client
from collections.abc import Iterable
from http import HTTPStatus

MAX_HEAD_LINES = 64
MAX_LINE_BYTES = 8192
_VERSIONS = {'HTTP/1.0': 10, 'HTTP/1.1': 11}
#: The headers that say where a reply ends and what becomes of the connection.
_FRAMING = frozenset((b'content-length', b'transfer-encoding', b'connection'))


class MinimalHttpResponse(http.client.HTTPResponse):
    """A reply that ends at its length, its last chunk, or the connection."""

    def begin(self) -> None:
        """Read the head.

        Raises:
            HTTPException: If the head is not one of a whole, plain reply.
        """
        version, status = self._read_line()
        while status == HTTPStatus.CONTINUE:
            self._read_head()
            version, status = self._read_line()
        if version not in _VERSIONS or status < HTTPStatus.OK:
            raise http.client.HTTPException('unexpected status line')
        self.status = status
        self.version = _VERSIONS[version]
        head = self._read_head()
        self.chunked = b'transfer-encoding' in head
        self.chunk_left = None
        self.length = _content_length(head)
        closes = b'close' in head.get(b'connection', b'')
        unbounded = self.length is None and not self.chunked
        self.will_close = closes or unbounded or version == 'HTTP/1.0'

    def _read_line(self) -> tuple[str, int]:
        version, status, _ = self._read_status()  # type: ignore[attr-defined]
        return version, status

    def _read_and_discard_trailer(self) -> None:
        """Read what follows the last chunk; its end must have come."""
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
            name, given = _split_header(line)
            if name not in _FRAMING:
                continue
            if framing.setdefault(name, given) != given:
                raise http.client.HTTPException('two lengths')
        raise http.client.HTTPException('too many headers')


class MinimalHttpConnection(http.client.HTTPConnection):
    """A connection whose requests go out in one send."""

    response_class = MinimalHttpResponse
    _buffer: list[bytes]

    def prepare(self, path: str, headers: Iterable[tuple[str, str]]) -> None:
        """Write the head of a POST; `endheaders` sends it with its body.

        Args:
            path: The path, quoted.
            headers: All headers but the host.

        Raises:
            ValueError: If a header can't be sent as it is.
            HTTPException: If the connection carries another request.
        """
        self.putrequest('POST', path, skip_host=True, skip_accept_encoding=True)
        lines = [f'{name}: {text}' for name, text in headers]
        lines.append(f'Host: {self.host}:{self.port}')
        if not all(map(str.isprintable, lines)):
            raise ValueError('control characters in a header')
        self._buffer.append('\r\n'.join(lines).encode('latin-1'))

    def _send_output(
        self,
        message_body: bytes | None = None,
        encode_chunked: bool = False,
    ) -> None:
        self._buffer.extend((b'', message_body or b''))
        whole = b'\r\n'.join(self._buffer)
        self._buffer.clear()
        self.send(whole)


def _split_header(line: bytes) -> tuple[bytes, bytes]:
    name, colon, given = line.lower().partition(b':')
    whole = colon and line.endswith(b'\r\n')
    if not whole or not name or name != name.strip():
        raise http.client.HTTPException('unexpected header line')
    return name, given.strip()


def _content_length(head: dict[bytes, bytes]) -> int | None:
    stated = head.get(b'content-length')
    coding = head.get(b'transfer-encoding')
    if coding is not None:
        if coding != b'chunked' or stated is not None:
            raise http.client.HTTPException('no plain length')
        return None
    if stated is not None and not stated.isdigit():
        raise http.client.HTTPException('no plain length')
    return None if stated is None else int(stated)
