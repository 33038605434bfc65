"""Reads the reply of a searcher from the bytes on its connection.

A searcher may send more than the expected reply: a late reply to an earlier
request, which is skipped, or bytes after the reply, which make the connection
unusable. What the reply occupies is counted in an account of the memory for
all replies, and never more than it has there.
"""

from collections.abc import Callable
from dataclasses import dataclass

from basilwall.forwarding.reply_messages import (
    HEAD_BYTES,
    InvalidReplyError,
    MessageCollector,
)
from basilwall.parts.memory_budget import MemoryAccount
from basilwall.records.forwarding import ReplyHead

#: A larger reply ends the attempt, however it is framed.
MAX_REPLY_BYTES = 16_777_216
#: Most bytes in a row that bring neither a header nor a part of a body: the
#: parser keeps some of them itself.
MAX_SILENT_BYTES = HEAD_BYTES
#: What is read at once; less until the size of the reply is known.
READ_BYTES = 65_536
FIRST_READ_BYTES = 16_384
#: What a reader occupies beside the reply.
READER_BYTES = 2048
HEAD = b'HEAD'


class IncompleteReplyError(InvalidReplyError):
    """The searcher closed the connection before its reply was complete."""


class ReplyTooLargeError(InvalidReplyError):
    """The reply is larger than allowed, or there is no room for it."""


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
    """Incremental reader of the reply to one request.

    `is_waiting` is True while there is no room for a reply whose size is known;
    nothing more is to be read until `find_room` returns True.
    """

    def __init__(
        self,
        method: bytes,
        is_own_reply: Callable[[ReplyHead], bool],
        account: MemoryAccount,
    ) -> None:
        """Start before the first byte of the reply.

        Args:
            method: The method of the request.
            is_own_reply: Returns whether a reply answers the request.
            account: Counts what the reply occupies; `close` releases it.
        """
        self.is_waiting = False
        self.size = 0
        self._account = account
        self._max_size = min(MAX_REPLY_BYTES, account.limit)
        self._silent_bytes = 0
        self._messages = MessageCollector(is_own_reply, has_body=method != HEAD)

    @property
    def next_read_bytes(self) -> int:
        """How much is to be read at once, in bytes."""
        if self._messages.head is None:
            return FIRST_READ_BYTES
        return READ_BYTES

    def feed(self, chunk: bytes) -> CompleteReply | None:
        """Parse the next bytes from the searcher.

        Args:
            chunk: The bytes; empty if the searcher closed the connection.

        Returns:
            The reply once it is complete, else None. Its account then holds
            what the reply occupies, and it is up to the caller to release it.

        Raises:
            InvalidReplyError: If the bytes are not a valid reply.
            IncompleteReplyError: If the connection was closed too early.
            ReplyTooLargeError: If the reply is too large.
        """
        if not chunk:
            return self._end_connection()
        self.size += len(chunk)
        parse_error = self._messages.feed(chunk)
        if self._messages.is_complete:
            return self._finish(may_reuse_connection=not parse_error)
        if parse_error:
            raise InvalidReplyError(parse_error)
        self._check_size(len(chunk))
        self._hold()
        return None

    def find_room(self) -> bool:
        """Return whether there is room now for a reply that waits for it."""
        announced = self._messages.announced_bytes
        self.is_waiting = not self._account.resize_or_wait(
            self._occupied(announced)
        )
        if not self.is_waiting:
            self._messages.make_room(announced)
        return not self.is_waiting

    def close(self) -> None:
        """Stop reading and release the account; it may be called twice."""
        self._messages.close()
        self._account.release()

    def _check_size(self, fed_bytes: int) -> None:
        messages = self._messages
        self._silent_bytes += fed_bytes
        if messages.take_progress():
            self._silent_bytes = 0
        if self.size > self._max_size:
            raise ReplyTooLargeError(
                f'reply larger than {self._max_size} bytes'
            )
        if not messages.head and messages.size > HEAD_BYTES:
            raise ReplyTooLargeError(
                f'head of reply larger than {HEAD_BYTES} bytes'
            )
        if self._silent_bytes > MAX_SILENT_BYTES:
            raise ReplyTooLargeError(
                f'{MAX_SILENT_BYTES} bytes without a header or a body'
            )

    def _hold(self) -> None:
        """Count what has been read, or wait for room for the whole reply."""
        messages = self._messages
        occupied = self._occupied(messages.announced_bytes)
        if occupied > self._account.limit:
            raise ReplyTooLargeError(
                f'reply larger than {self._account.limit} bytes'
            )
        if occupied <= self._account.held:
            return
        if messages.announced_bytes:
            self.find_room()
        elif not self._account.resize(occupied):
            raise ReplyTooLargeError('no room for a reply of unknown size')

    def _occupied(self, announced_bytes: int = 0) -> int:
        """Return what the reader and its reply occupy, in bytes."""
        messages = self._messages
        body_bytes = max(announced_bytes, messages.body_capacity)
        return (
            READER_BYTES + messages.head_cost + self._silent_bytes + body_bytes
        )

    def _finish(self, *, may_reuse_connection: bool) -> CompleteReply:
        messages = self._messages
        head, body = messages.take()
        occupied = READER_BYTES + messages.head_cost + len(body)
        if not self._account.resize(occupied):
            raise ReplyTooLargeError('no room for a reply')
        messages.close()
        return CompleteReply(
            head,
            body,
            may_reuse_connection and messages.may_reuse_connection,
        )

    def _end_connection(self) -> CompleteReply:
        """Return a reply whose body is delimited by the end of stream."""
        if not self._messages.may_end_with_connection:
            raise IncompleteReplyError(
                'connection closed before the reply was complete'
            )
        return self._finish(may_reuse_connection=False)
