"""Parses the reply of a searcher from the bytes on its connection.

A searcher may send more than the expected reply: a late reply to an earlier
request, which is skipped, or bytes after the reply, which make the connection
unusable. A scattered request reads one reply for each shard, so a parser in C
(httptools) is used.
"""

from collections.abc import Callable
from dataclasses import dataclass

import httptools

from basilwall.parts.byte_budget import ByteBudget
from basilwall.records.forwarding import ReplyHead

#: Largest accepted head of a reply.
MAX_HEAD_BYTES = 65_536
#: A larger reply ends the attempt.
MAX_REPLY_BYTES = 16_777_216
#: No reply may use more than this share of the memory for all of them.
MAX_REPLY_SHARE = 0.25
#: What a reply may use in any case. Replies to queries are smaller, so that one
#: without end can't take the memory for them.
FREE_REPLY_BYTES = 16_384
#: Interim responses and replies to other requests that are skipped.
MAX_SKIPPED_MESSAGES = 16
HEAD = b'HEAD'
#: Lower statuses are interim responses, which precede the final one.
FIRST_FINAL_STATUS = 200
HEADER_WHITESPACE = b' \t'
#: Raised by the parser on invalid bytes and on a protocol upgrade.
PARSER_ERRORS = (httptools.HttpParserError, httptools.HttpParserUpgrade)


class InvalidReplyError(Exception):
    """The received bytes are not a valid reply to the request."""


class IncompleteReplyError(InvalidReplyError):
    """The searcher closed the connection before its reply was complete."""


@dataclass(frozen=True, slots=True)
class CompleteReply:
    """A reply that was read to its end.

    `may_reuse_connection` is True if the searcher keeps the connection open
    and no bytes followed the reply.
    """

    head: ReplyHead
    body: bytes
    may_reuse_connection: bool


class ReplyReader:
    """Incremental parser of the reply to one request."""

    def __init__(
        self,
        method: bytes,
        is_own_reply: Callable[[ReplyHead], bool],
        memory: ByteBudget,
    ) -> None:
        """Start before the first byte of the reply.

        Args:
            method: The method of the request.
            is_own_reply: Returns whether a reply answers the request.
            memory: Limits the bytes of all replies that are being read.
        """
        self._memory = memory
        self._reserved = 0
        self._max_size = min(MAX_REPLY_BYTES, memory.limit * MAX_REPLY_SHARE)
        self._has_body = method != HEAD
        self._is_own_reply = is_own_reply
        self._size = 0
        self._messages = _MessageCollector()

    def feed(self, chunk: bytes) -> CompleteReply | None:
        """Parse the next bytes from the searcher.

        Args:
            chunk: The bytes; empty if the searcher closed the connection.

        Returns:
            The reply once it is complete, else None.

        Raises:
            InvalidReplyError: If the bytes are not a valid reply.
            IncompleteReplyError: If the connection was closed too early.
        """
        if not chunk:
            return self._end_connection()
        self._size += len(chunk)
        self._reserve_memory()
        parse_error = self._messages.feed(chunk)
        complete = self._find()
        # Invalid bytes after the reply affect the connection, not the reply.
        if parse_error and complete is None:
            raise InvalidReplyError(parse_error)
        if self._messages.head is None and self._size > MAX_HEAD_BYTES:
            raise InvalidReplyError(
                f'head of reply larger than {MAX_HEAD_BYTES} bytes',
            )
        return complete

    def close(self) -> None:
        """Release the memory of the reply; it may be called twice."""
        self._messages.close()
        self._memory.release(self._reserved)
        self._reserved = 0

    def _reserve_memory(self) -> None:
        if self._size > self._max_size:
            raise InvalidReplyError(
                f'reply larger than {int(self._max_size)} bytes',
            )
        needed = self._size - FREE_REPLY_BYTES - self._reserved
        if needed <= 0:
            return
        if not self._memory.reserve(needed):
            raise InvalidReplyError(
                f'replies larger than {self._memory.limit} bytes together',
            )
        self._reserved += needed

    def _find(self) -> CompleteReply | None:
        """Return the first final reply to this request, if it is complete."""
        messages = self._messages
        if len(messages.complete) > MAX_SKIPPED_MESSAGES:
            raise InvalidReplyError('too many other messages')
        for position, message in enumerate(messages.complete, start=1):
            if self._is_final_reply(message.head):
                is_last = position == len(messages.complete)
                may_reuse_connection = (
                    is_last
                    and message.is_keep_alive
                    and not messages.is_in_message
                )
                return CompleteReply(
                    message.head, message.body, may_reuse_connection
                )
        head = messages.head
        if self._has_body or head is None or not self._is_final_reply(head):
            return None
        # A reply to HEAD has no body.
        return CompleteReply(
            head, b'', may_reuse_connection=not messages.body()
        )

    def _end_connection(self) -> CompleteReply:
        """Return a reply whose body is delimited by the end of stream."""
        head = self._messages.head
        if head is None or _is_framed(head) or not self._is_final_reply(head):
            raise IncompleteReplyError(
                'connection closed before the reply was complete'
            )
        return CompleteReply(
            head, self._messages.body(), may_reuse_connection=False
        )

    def _is_final_reply(self, head: ReplyHead) -> bool:
        return head.status >= FIRST_FINAL_STATUS and self._is_own_reply(head)


@dataclass(frozen=True, slots=True)
class _CompleteMessage:
    """A message read to its end; `is_keep_alive` as its sender announced."""

    head: ReplyHead
    body: bytes
    is_keep_alive: bool


class _MessageCollector:
    """Callbacks of the parser; collects the messages that it reads.

    `head` is the head of the message that is being read, None until it is
    complete. `is_in_message` is True between the start and end of a message.
    """

    def __init__(self) -> None:
        self.complete: list[_CompleteMessage] = []
        self.is_in_message = False
        self.head: ReplyHead | None = None
        self._reason = b''
        self._headers: list[tuple[bytes, bytes]] = []
        self._header_size = 0
        self._chunks: list[bytes] = []
        self._parser: httptools.HttpResponseParser | None = (
            httptools.HttpResponseParser(self)
        )

    def close(self) -> None:
        """Drop the parser, which refers to this collector in turn."""
        self._parser = None

    def feed(self, chunk: bytes) -> str:
        """Parse bytes and return the parse error, or an empty text."""
        try:
            self._active_parser.feed_data(chunk)
        except PARSER_ERRORS as error:
            return str(error) or 'not an HTTP response'
        return ''

    def body(self) -> bytes:
        """Return the part of the body that was read so far."""
        return b''.join(self._chunks)

    def on_message_begin(self) -> None:
        """Start a new message."""
        self.is_in_message = True
        self.head = None
        self._reason = b''
        self._headers = []
        self._header_size = 0
        self._chunks = []

    def on_status(self, reason: bytes) -> None:
        """Append a piece of the reason phrase."""
        self._reason += reason

    def on_header(self, name: bytes, text: bytes) -> None:
        """Append a header, or a trailer after the body."""
        self._header_size += len(name) + len(text)
        if self._header_size > MAX_HEAD_BYTES:
            raise ValueError(f'headers larger than {MAX_HEAD_BYTES} bytes')
        self._headers.append((name, text.strip(HEADER_WHITESPACE)))

    def on_headers_complete(self) -> None:
        """Build the head from its status line and headers."""
        status = self._active_parser.get_status_code()
        self.head = ReplyHead(status, self._reason, tuple(self._headers))

    def on_body(self, chunk: bytes) -> None:
        """Append a piece of the body."""
        self._chunks.append(chunk)

    def on_message_complete(self) -> None:
        """Store the complete message."""
        self.is_in_message = False
        if self.head is not None:
            is_keep_alive = self._active_parser.should_keep_alive()
            self.complete.append(
                _CompleteMessage(self.head, self.body(), is_keep_alive)
            )

    @property
    def _active_parser(self) -> httptools.HttpResponseParser:
        if self._parser is None:
            raise InvalidReplyError('the reply has ended')
        return self._parser


def _is_framed(head: ReplyHead) -> bool:
    """Return whether a length or chunked coding delimits the body."""
    by_name = head.headers_by_name
    return b'content-length' in by_name or b'transfer-encoding' in by_name
