"""Collects the messages that a searcher sends as the reply to one request.

A scattered request reads one reply for each shard, so a parser in C
(httptools) is used.
"""

import io
from collections.abc import Callable

import httptools

from basilwall.forwarding.protocol_check import ProtocolCheck
from basilwall.forwarding.reply_ownership import UnnamedReplyError
from basilwall.parts.http_status import (
    VERSIONS,
    StatusKind,
    kind_of_status,
)
from basilwall.records.forwarding import ReplyHead

#: Largest accepted head of a reply, and trailers of one.
HEAD_BYTES = 65_536
#: What the objects of a header occupy beside its text.
HEADER_COST_BYTES = 300
#: Interim responses and replies to other requests that are skipped.
MAX_SKIPPED_MESSAGES = 16
HEADER_WHITESPACE = b' \t'
#: A buffer that grows reserves this share more than it needs.
GROWTH_RATIO = 1.125
#: Raised by the parser on invalid bytes and on a protocol upgrade.
PARSER_ERRORS = (httptools.HttpParserError, httptools.HttpParserUpgrade)


class InvalidReplyError(Exception):
    """The received bytes are not a valid reply to the request."""


class MessageCollector:
    """Callbacks of the parser; keeps the first final reply to the request.

    Of other messages neither heads nor bodies are kept. `head` is that of the
    reply, or of the message that is being read, None until it is complete.
    `size` is what was read of that message, `announced_bytes` the length that
    the reply names for its body, 0 if it names none.
    """

    def __init__(
        self, is_own_reply: Callable[[ReplyHead], bool], *, has_body: bool
    ) -> None:
        """Start before the first message.

        Args:
            is_own_reply: Returns whether a reply answers the request, or
                raises `UnnamedReplyError`.
            has_body: Whether the reply may have a body.
        """
        self.head: ReplyHead | None = None
        self.size = 0
        self.head_cost = 0
        self.announced_bytes = 0
        self.is_complete = False
        self.may_reuse_connection = False
        self._is_own_reply = is_own_reply
        self._has_body = has_body
        self._is_own = False
        self._skipped = 0
        self._reason = b''
        self._headers: list[tuple[bytes, bytes]] = []
        self._header_bytes = 0
        self._body = io.BytesIO()
        self._capacity = 0
        self._has_progress = False
        self._parser: httptools.HttpResponseParser | None = (
            httptools.HttpResponseParser(self)
        )
        self._protocol_check = ProtocolCheck()
        #: Why the head of a message is none.
        self._invalid = ''

    @property
    def body_capacity(self) -> int:
        """What the buffer of the body occupies, in bytes."""
        return self._capacity or int(self._body.tell() * GROWTH_RATIO)

    @property
    def may_end_with_connection(self) -> bool:
        """True if the end of the connection is the end of the reply."""
        return (
            self._is_own and self.head is not None and not _is_framed(self.head)
        )

    def feed(self, chunk: bytes) -> str:
        """Parse bytes and return the parse error, or an empty text."""
        if self._parser is None:
            return 'the reply has ended'
        self.size += len(chunk)
        if not self._protocol_check.accepts(chunk):
            return 'not an HTTP response'
        try:
            self._parser.feed_data(chunk)
        except PARSER_ERRORS as error:
            return self._invalid or str(error) or 'not an HTTP response'
        return ''

    def make_room(self, size: int) -> None:
        """Make a buffer of the size of the whole body, unless it is there."""
        if self._capacity:
            return
        read = self._body.getvalue()
        self._body = io.BytesIO(bytes(size))
        self._body.write(read)
        self._capacity = size

    def take(self) -> tuple[ReplyHead, bytes]:
        """Return the reply, without copying its body.

        Raises:
            InvalidReplyError: If its head is not complete.
        """
        if self.head is None:
            raise InvalidReplyError('no head')
        self._body.truncate()
        return self.head, self._body.getvalue()

    def take_progress(self) -> bool:
        """Return whether a header or a part of a body came since last time."""
        has_progress, self._has_progress = self._has_progress, False
        return has_progress

    def close(self) -> None:
        """Drop the parser, which refers to this collector, and the body."""
        self._parser = None
        self._body = io.BytesIO()

    def on_message_begin(self) -> None:
        """Start a new message, or note that bytes follow the reply."""
        if self.is_complete:
            self.may_reuse_connection = False
            return
        if self._skipped > MAX_SKIPPED_MESSAGES:
            raise ValueError('too many other messages')
        self.head = None
        self.size = 0
        self._reason = b''
        self._headers = []
        self._header_bytes = 0
        self.head_cost = 0

    def on_status(self, reason: bytes) -> None:
        """Append a piece of the reason phrase."""
        self._reason += reason

    def on_header(self, name: bytes, text: bytes) -> None:
        """Append a header; trailers after the body are dropped."""
        if self.is_complete:
            return
        self._has_progress = True
        self._header_bytes += len(name) + len(text)
        if self._header_bytes > HEAD_BYTES:
            raise ValueError(f'headers larger than {HEAD_BYTES} bytes')
        if self.head is None:
            self._headers.append((name, text.strip(HEADER_WHITESPACE)))
            self.head_cost = (
                self._header_bytes + len(self._headers) * HEADER_COST_BYTES
            )

    def on_headers_complete(self) -> None:
        """Build the head from its status line and headers."""
        if self.is_complete or self._parser is None:
            return
        status = self._parser.get_status_code()
        kind = kind_of_status(status)
        version = self._parser.get_http_version()
        if kind is StatusKind.INVALID or version not in VERSIONS:
            self._invalid = f'no response: status {status}, HTTP/{version}'
            raise ValueError(self._invalid)
        self.head = ReplyHead(status, self._reason, tuple(self._headers))
        self._headers = []
        self._header_bytes = 0
        is_final = kind is StatusKind.FINAL
        try:
            self._is_own = is_final and self._is_own_reply(self.head)
        except UnnamedReplyError as error:
            self._invalid = str(error)
            raise
        if not self._is_own:
            return
        if self._has_body:
            self.announced_bytes = _announced_bytes(self.head)
        else:
            # A reply to HEAD has no body.
            self.is_complete = True
            self.may_reuse_connection = True

    def on_body(self, chunk: bytes) -> None:
        """Append a piece of the body."""
        self._has_progress = True
        if self.is_complete:
            self.may_reuse_connection = False
        elif self._is_own:
            self._body.write(chunk)

    def on_message_complete(self) -> None:
        """Complete the reply, or skip another message."""
        if self.is_complete or self._parser is None:
            return
        if self._is_own:
            self.is_complete = True
            self.may_reuse_connection = self._parser.should_keep_alive()
        else:
            self._skipped += 1


def _is_framed(head: ReplyHead) -> bool:
    """Return whether a length or chunked coding delimits the body."""
    by_name = head.headers_by_name
    return b'content-length' in by_name or b'transfer-encoding' in by_name


def _announced_bytes(head: ReplyHead) -> int:
    length = head.headers_by_name.get(b'content-length', b'')
    return int(length) if length.isdigit() else 0
