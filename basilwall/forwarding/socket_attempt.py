"""One attempt on one connection to a searcher.

A connection carries one attempt at a time, and it is kept only if the reply
was read to its end with nothing after it.
"""

import errno
from collections.abc import Callable
from enum import Enum
from functools import partial

from basilwall.forwarding.codec import AttemptCodec
from basilwall.forwarding.connection import SearcherConnection
from basilwall.forwarding.reply_reader import (
    CompleteReply,
    InvalidReplyError,
    ReplyReader,
)
from basilwall.forwarding.transport import Attempt
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
    """The attempt may not be sent any more."""


class Stage(Enum):
    """How far an attempt has come on its connection."""

    CONNECTING = 'connecting'
    SENDING = 'sending'
    READING = 'reading'


class SocketAttempt(Attempt):
    """One attempt on one connection.

    `advance` is called whenever the socket is ready; it returns the result
    once there is one and never blocks.
    """

    def __init__(
        self,
        call: Call,
        connection: SearcherConnection,
        codec: AttemptCodec,
        clock: Clock,
        deadline: float,
        may_send: Callable[[], bool],
    ) -> None:
        """Prepare an attempt.

        Args:
            call: The caller's request.
            connection: Where to send it, connected or about to be.
            codec: Writes the attempt and reads the reply.
            clock: Tells the time that is left.
            deadline: Nothing is sent after this, in monotonic seconds.
            may_send: Asked right before the first byte: the searcher may have
                left while the connection was being made.
        """
        self._may_send = may_send
        self.call = call
        self.connection = connection
        self.searcher = connection.searcher
        self.sent_at = clock.monotonic()
        self.is_sent = False
        self.may_keep_connection = False
        self.stage = Stage.CONNECTING
        self._codec = codec
        self._clock = clock
        self._deadline = deadline
        self._unsent = memoryview(b'')
        self._is_send_interrupted = False
        self._reader: ReplyReader | None = None

    @property
    def is_connected(self) -> bool:
        """True once there is a connection to send it on."""
        return self.connection.is_connected

    @property
    def is_waiting_to_write(self) -> bool:
        """True while the socket is waited for to take bytes."""
        return self.stage is not Stage.READING

    def advance(self) -> AttemptResult | None:
        """Go on as far as the socket allows.

        Returns:
            The result of the attempt, None while it goes on.
        """
        try:
            return self._advance()
        except BlockingIOError:
            return None
        except OSError as error:
            return self._failed(LossReason.CUT, str(error))
        except InvalidReplyError as error:
            return self._failed(LossReason.SPOILED, str(error))

    def cancel(self, reason: LossReason) -> AttemptResult:
        """End the attempt; its connection can't be kept."""
        return self._failed(reason, 'given up')

    def _advance(self) -> AttemptResult | None:
        if self.stage is Stage.CONNECTING:
            if not self.connection.is_connected:
                self.connection.finish_connecting()
            self._begin()
        if self.stage is Stage.SENDING:
            self._send()
        return self._read()

    def _failed(self, reason: LossReason, detail: str) -> AttemptResult:
        self.may_keep_connection = False
        if self.is_sent:
            return Lost(self.searcher.searcher_id, reason, detail)
        if self.stage is Stage.CONNECTING:
            reason = LossReason.NOT_CONNECTED
        return Unsent(self.searcher.searcher_id, reason, detail)

    def _begin(self) -> None:
        self.sent_at = self._clock.monotonic()
        left = self._deadline - self.sent_at
        if left <= 0 or not self._may_send():
            raise SendCancelledError(errno.ECANCELED, 'too late, or leaving')
        self._reader = ReplyReader(
            self.call.method,
            partial(self._codec.is_reply_to, self.call),
        )
        sent = self._codec.encode_attempt(
            self.call, self.searcher.searcher_id, left
        )
        self._unsent = memoryview(sent)
        self.stage = Stage.SENDING

    def _send(self) -> None:
        """Send what the socket takes; a reply may come before it took all."""
        self.is_sent = True
        try:
            while self._unsent:
                taken = self.connection.socket.send(self._unsent)
                self._unsent = self._unsent[taken:]
        except BlockingIOError:
            return
        except OSError:
            # A searcher that replies early may close: the reply still counts.
            self._is_send_interrupted = True
        self.stage = Stage.READING

    def _read(self) -> AttemptResult | None:
        reader = self._reader
        while reader is not None:
            whole = reader.feed(self.connection.socket.recv(READ_BYTES))
            if whole is not None:
                return self._finish(whole)
        return None

    def _finish(self, whole: CompleteReply) -> AttemptResult:
        is_whole = not (self._unsent or self._is_send_interrupted)
        self.may_keep_connection = whole.may_reuse_connection and is_whole
        self.connection.mark_idle(self._codec.idle_limit(whole.head))
        searcher_id = self.searcher.searcher_id
        return self._codec.decode_reply(searcher_id, whole.head, whole.body)
