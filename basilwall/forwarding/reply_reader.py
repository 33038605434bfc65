"""Reads the reply to one request of a searcher from its bytes.

A searcher may send more than the reply: a late one to an earlier request,
which is passed over, or bytes after the last one, which belong to no request.
A request to many shards reads as many replies, so a parser in C reads them.
"""

from collections.abc import Callable
from dataclasses import dataclass

import httptools

from basilwall.records.forwarding import ReplyHead

#: Largest head of a reply, in bytes.
MAX_HEAD_BYTES = 65_536
#: A reply above this size ends the attempt, in bytes.
MAX_REPLY_BYTES = 16_777_216
HEAD = b'HEAD'
#: Replies below this status only announce the one that counts.
FIRST_FINAL_STATUS = 200
HEADER_WHITESPACE = b' \t'
#: What the parser raises on bytes that are no reply, or that end HTTP.
PARSER_ERRORS = (httptools.HttpParserError, httptools.HttpParserUpgrade)


class InvalidReplyError(Exception):
    """The bytes of a searcher are no reply to this request."""


@dataclass(frozen=True, slots=True)
class CompleteReply:
    """A reply read to its end; `is_clean` if nothing came after it."""

    head: ReplyHead
    body: bytes
    may_reuse_connection: bool


class ReplyReader:
    """The bytes of the reply to one request."""

    def __init__(
        self,
        method: bytes,
        is_own_reply: Callable[[ReplyHead], bool],
    ) -> None:
        self._has_body = method != HEAD
        self._is_own_reply = is_own_reply
        self._size = 0
        self._messages = _MessageCollector()

    def feed(self, chunk: bytes) -> CompleteReply | None:
        """Take in what the searcher sent.

        Args:
            chunk: The bytes; none if it closed the connection.

        Returns:
            The reply once it is whole.

        Raises:
            SpoiledReplyError: If these bytes are no reply.
        """
        if not chunk:
            return self._end_connection()
        self._size += len(chunk)
        if self._size > MAX_REPLY_BYTES:
            raise InvalidReplyError('reply too large')
        spoiled = self._messages.feed(chunk)
        whole = self._find()
        # Odd bytes after the reply spoil its connection, not the reply.
        if spoiled and whole is None:
            raise InvalidReplyError(spoiled)
        if self._messages.head is None and self._size > MAX_HEAD_BYTES:
            raise InvalidReplyError('head too large')
        return whole

    def _find(self) -> CompleteReply | None:
        """Return the first final reply to this request, if it is whole."""
        messages = self._messages
        for place, ended in enumerate(messages.complete, start=1):
            if self._is_final_reply(ended.head):
                is_last = place == len(messages.complete)
                is_clean = (
                    is_last
                    and ended.is_keep_alive
                    and not messages.is_in_message
                )
                return CompleteReply(ended.head, ended.body, is_clean)
        head = messages.head
        if self._has_body or head is None or not self._is_final_reply(head):
            return None
        # A reply to HEAD is whole with its head.
        return CompleteReply(
            head, b'', may_reuse_connection=not messages.body()
        )

    def _end_connection(self) -> CompleteReply:
        """Return the reply that ends with its connection."""
        head = self._messages.head
        if head is None or _is_framed(head) or not self._is_final_reply(head):
            raise InvalidReplyError('closed before the end of a reply')
        return CompleteReply(
            head, self._messages.body(), may_reuse_connection=False
        )

    def _is_final_reply(self, head: ReplyHead) -> bool:
        return head.status >= FIRST_FINAL_STATUS and self._is_own_reply(head)


@dataclass(frozen=True, slots=True)
class _CompleteMessage:
    """A message read to its end; `keeps` if its sender keeps the connection."""

    head: ReplyHead
    body: bytes
    is_keep_alive: bool


class _MessageCollector:
    """What the parser finds, one message after the other.

    `head` is that of the message that is being read, None before its end.
    `has_begun` is True while a message is not at its end.
    """

    def __init__(self) -> None:
        self.complete: list[_CompleteMessage] = []
        self.is_in_message = False
        self.head: ReplyHead | None = None
        self._reason = b''
        self._headers: list[tuple[bytes, bytes]] = []
        self._chunks: list[bytes] = []
        self._parser = httptools.HttpResponseParser(self)

    def feed(self, chunk: bytes) -> str:
        """Take in bytes; returns what is wrong with them, or an empty text."""
        try:
            self._parser.feed_data(chunk)
        except PARSER_ERRORS as error:
            return str(error) or 'no reply'
        return ''

    def body(self) -> bytes:
        """Return what was read so far of the body."""
        return b''.join(self._chunks)

    def on_message_begin(self) -> None:
        """Begin a message."""
        self.is_in_message = True
        self.head = None
        self._reason = b''
        self._headers = []
        self._chunks = []

    def on_status(self, reason: bytes) -> None:
        """Take a piece of the reason phrase."""
        self._reason += reason

    def on_header(self, name: bytes, text: bytes) -> None:
        """Take one header."""
        self._headers.append((name, text.strip(HEADER_WHITESPACE)))

    def on_headers_complete(self) -> None:
        """End the head."""
        status = self._parser.get_status_code()
        self.head = ReplyHead(status, self._reason, tuple(self._headers))

    def on_body(self, chunk: bytes) -> None:
        """Take a piece of the body."""
        self._chunks.append(chunk)

    def on_message_complete(self) -> None:
        """End the message."""
        self.is_in_message = False
        if self.head is not None:
            keeps = self._parser.should_keep_alive()
            self.complete.append(
                _CompleteMessage(self.head, self.body(), keeps)
            )


def _is_framed(head: ReplyHead) -> bool:
    """Return whether a reply ends by its length or its last chunk."""
    by_name = head.headers_by_name
    return b'content-length' in by_name or b'transfer-encoding' in by_name
