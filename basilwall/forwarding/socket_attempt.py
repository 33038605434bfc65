"""One attempt over a connection to a searcher.

A connection carries one attempt at a time. It is reused only if the request
was sent completely and the reply was read to its end with no bytes after it.
"""

import errno
from collections.abc import Callable
from enum import Enum
from functools import partial

from basilwall.forwarding.codec import AttemptCodec
from basilwall.forwarding.connection import SearcherConnection
from basilwall.forwarding.reply_reader import (
    CompleteReply,
    IncompleteReplyError,
    InvalidReplyError,
    ReplyReader,
)
from basilwall.forwarding.transport import Attempt
from basilwall.parts.byte_budget import ByteBudget
from basilwall.parts.clock import Clock
from basilwall.records.forwarding import (
    AttemptResult,
    Call,
    LossReason,
    Lost,
    Unsent,
)

READ_BYTES = 65_536


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
        memory: ByteBudget,
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
            memory: Limits the bytes of all replies that are being read.
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
        self._is_send_interrupted = False
        self._reader: ReplyReader | None = None

    @property
    def is_connected(self) -> bool:
        """True once the connection is established."""
        return self.connection.is_connected

    @property
    def is_waiting_to_write(self) -> bool:
        """True while the attempt waits for the socket to become writable."""
        return self.stage is not Stage.READING

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
            self.outcome = self._failed(LossReason.SPOILED, str(error))
        return self.outcome

    def cancel(self, reason: LossReason) -> AttemptResult:
        """End the attempt; its connection can not be reused."""
        return self._failed(reason, 'cancelled')

    def close(self) -> None:
        """Release what a reply holds that is no longer read."""
        if self._reader is not None:
            self._reader.close()
            self._reader = None

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
        self._reader = ReplyReader(
            self.call.method,
            partial(self._codec.is_reply_to, self.call),
            self._memory,
        )
        encoded = self._codec.encode_attempt(
            self.call, self.searcher.searcher_id, time_left
        )
        self._unsent = memoryview(encoded)
        self.stage = Stage.SENDING

    def _send(self) -> None:
        """Send what the socket accepts."""
        self.is_sent = True
        try:
            while self._unsent:
                sent_bytes = self.connection.socket.send(self._unsent)
                self._unsent = self._unsent[sent_bytes:]
        except BlockingIOError:
            return
        except OSError:
            # A searcher may reply and close before it has read the whole
            # request; the reply is still valid.
            self._is_send_interrupted = True
        self.stage = Stage.READING

    def _read(self) -> AttemptResult | None:
        reader = self._reader
        while reader is not None:
            reply = reader.feed(self.connection.socket.recv(READ_BYTES))
            if reply is not None:
                return self._finish(reply)
        return None

    def _finish(self, reply: CompleteReply) -> AttemptResult:
        self.close()
        is_request_sent = not (self._unsent or self._is_send_interrupted)
        self.may_keep_connection = (
            reply.may_reuse_connection and is_request_sent
        )
        self.connection.mark_idle(self._codec.idle_limit(reply.head))
        searcher_id = self.searcher.searcher_id
        return self._codec.decode_reply(searcher_id, reply.head, reply.body)
