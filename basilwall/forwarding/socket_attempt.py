"""One attempt over a connection to a searcher.

A connection carries one attempt at a time. It is reused only if the request
was sent completely and the reply was read to its end with no bytes after it.
"""

import errno
from collections.abc import Callable
from enum import Enum

from basilwall.forwarding.codec import AttemptCodec
from basilwall.forwarding.connection import SearcherConnection
from basilwall.forwarding.reply_memory import ReplyMemory
from basilwall.forwarding.reply_messages import InvalidReplyError
from basilwall.forwarding.reply_ownership import ReplyOwnership
from basilwall.forwarding.reply_reader import (
    CompleteReply,
    IncompleteReplyError,
    ReplyReader,
    ReplyTooLargeError,
)
from basilwall.forwarding.transport import Attempt
from basilwall.parts.clock import Clock
from basilwall.parts.memory_budget import MemoryAccount
from basilwall.records.forwarding import (
    AttemptResult,
    Call,
    LossReason,
    Lost,
    Unsent,
)

#: A longer body is sent after the head, and not copied behind it.
MAX_COPIED_BYTES = 16_384
#: After as many reads, deadlines are checked and other attempts have a turn.
MAX_READS_AT_ONCE = 4


class SendCancelledError(OSError):
    """The attempt was cancelled before its first byte was sent."""


class Stage(Enum):
    """The progress of an attempt."""

    CONNECTING = 'connecting'
    SENDING = 'sending'
    READING = 'reading'


class SocketAttempt(Attempt):
    """State machine of one attempt over a non-blocking connection.

    `advance` is called whenever the socket is ready and never blocks; it
    returns the result once the attempt has ended.
    """

    def __init__(
        self,
        call: Call,
        connection: SearcherConnection,
        codec: AttemptCodec,
        clock: Clock,
        deadline: float,
        may_send: Callable[[], bool],
        memory: ReplyMemory,
    ) -> None:
        """Prepare an attempt.

        Args:
            call: The caller's request.
            connection: The connection to use, connected or connecting.
            codec: Encodes the attempt and decodes the reply.
            clock: The monotonic clock.
            deadline: Nothing is sent after this time, in monotonic seconds.
            may_send: Called right before the first byte is sent, because the
                searcher may have left while the connection was being opened.
            memory: Limits what all replies occupy together.
        """
        self._may_send = may_send
        self._memory = memory
        self.call = call
        self.connection = connection
        self.searcher = connection.searcher
        self.sent_at = clock.monotonic()
        self.is_sent = False
        self.may_keep_connection = False
        #: How it ended, None before that and if it was cancelled.
        self.outcome: AttemptResult | None = None
        self.stage = Stage.CONNECTING
        self._codec = codec
        self._clock = clock
        self._deadline = deadline
        self._unsent = memoryview(b'')
        #: Why the request was not sent to its end.
        self._send_error: OSError | None = None
        self._unsent_body = memoryview(b'')
        self._ownership = ReplyOwnership(codec, call, connection)
        self._reader: ReplyReader | None = None
        self._account: MemoryAccount | None = None

    @property
    def is_connected(self) -> bool:
        """True once the connection is established."""
        return self.connection.is_connected

    @property
    def is_waiting_to_write(self) -> bool:
        """True while the attempt waits for the socket to become writable."""
        return self.stage is not Stage.READING

    @property
    def is_waiting_for_room(self) -> bool:
        """True while nothing is read, as there is no room for the reply."""
        return self._reader is not None and self._reader.is_waiting

    def advance(self) -> AttemptResult | None:
        """Make as much progress as the socket allows without blocking.

        Returns:
            The result of the attempt, None while it is still in progress.
        """
        try:
            self.outcome = self._advance()
        except BlockingIOError:
            return None
        except (OSError, IncompleteReplyError) as error:
            self.outcome = self._failed(LossReason.CUT, str(error))
        except InvalidReplyError as error:
            self._note_too_large(error)
            self.outcome = self._failed(LossReason.SPOILED, str(error))
        return self.outcome

    def cancel(self, reason: LossReason) -> AttemptResult:
        """End the attempt; its connection can not be reused."""
        return self._failed(reason, 'cancelled')

    def close(self) -> None:
        """Release what a reply holds that is no longer read."""
        reader, self._reader = self._reader, None
        if reader is not None:
            reader.close()
        self._unsent = memoryview(b'')
        self._unsent_body = self._unsent

    def _advance(self) -> AttemptResult | None:
        if self.stage is Stage.CONNECTING:
            if not self.connection.is_connected:
                self.connection.finish_connecting()
            self._begin()
            self._send()
            # No reply can have arrived yet, and the next call reads it.
            return None
        if self.stage is Stage.SENDING:
            self._send()
        return self._read()

    def _note_too_large(self, error: InvalidReplyError) -> None:
        if isinstance(error, ReplyTooLargeError) and self._reader:
            self._memory.note_rejected(
                self.searcher.searcher_id, self._reader.size, str(error)
            )

    def _failed(self, reason: LossReason, detail: str) -> AttemptResult:
        self.may_keep_connection = False
        self.close()
        if self.is_sent:
            return Lost(self.searcher.searcher_id, reason, detail)
        if self.stage is Stage.CONNECTING:
            reason = LossReason.NOT_CONNECTED
        return Unsent(self.searcher.searcher_id, reason, detail)

    def _begin(self) -> None:
        self.sent_at = self._clock.monotonic()
        time_left = self._deadline - self.sent_at
        if time_left <= 0 or not self._may_send():
            raise SendCancelledError(
                errno.ECANCELED, 'deadline passed, or searcher leaving'
            )
        self._account = self._memory.account(self.call, self.searcher.service)
        self._reader = ReplyReader(
            self.call.method,
            self._ownership.is_own,
            self._account,
        )
        head = self._codec.encode_attempt(
            self.call, self.searcher.searcher_id, time_left
        )
        self._unsent, self._unsent_body = _sent_parts(head, self.call.body)
        self.stage = Stage.SENDING

    def _send(self) -> None:
        """Send what the socket accepts."""
        self.is_sent = True
        try:
            while self._unsent:
                sent_bytes = self.connection.socket.send(self._unsent)
                self._unsent = self._unsent[sent_bytes:]
                if not self._unsent:
                    self._unsent = self._unsent_body
                    self._unsent_body = self._unsent[:0]
        except BlockingIOError:
            return
        except OSError as error:
            # A searcher may reply and close before it has read the whole
            # request; the reply is still valid.
            self._send_error = error
        self.stage = Stage.READING

    def _read(self) -> AttemptResult | None:
        reader = self._reader
        if reader is None or (reader.is_waiting and not reader.find_room()):
            return None
        for _ in range(MAX_READS_AT_ONCE):
            if reader.is_waiting:
                break
            received = self.connection.socket.recv(reader.next_read_bytes)
            if not received:
                _check_end(self._send_error)
            reply = reader.feed(received)
            if reply is not None:
                return self._finish(reply)
        return None

    def _finish(self, reply: CompleteReply) -> AttemptResult:
        is_request_sent = not (self._unsent or self._send_error)
        self._reader = None
        if self._account is not None:
            self.call.held_replies.add(self._account)
        self.close()
        self.may_keep_connection = (
            reply.may_reuse_connection
            and is_request_sent
            and not self._ownership.may_be_followed
        )
        self.connection.mark_idle(self._codec.idle_limit(reply.head))
        searcher_id = self.searcher.searcher_id
        return self._codec.decode_reply(searcher_id, reply.head, reply.body)


def _sent_parts(head: bytes, body: bytes) -> tuple[memoryview, memoryview]:
    """Return what is sent first and then; a short body goes with its head."""
    if len(body) <= MAX_COPIED_BYTES:
        return memoryview(b''.join((head, body))), memoryview(b'')
    return memoryview(head), memoryview(body)


def _check_end(send_error: OSError | None) -> None:
    """Raise the error that ended a connection on which nothing more is read.

    The system reports it once: a read after a failed send returns nothing, as
    at the end of a stream. A broken pipe comes after such an end.
    """
    if send_error is not None and send_error.errno != errno.EPIPE:
        raise send_error
