"""Sends answers to callers, and gives up those that don't read them."""

import socket
from collections.abc import Callable, Sequence

from basilwall.parts.clock import Clock

#: Answers up to this size are sent in one piece.
MAX_JOINED_BYTES = 16_384
#: A caller that reads nothing for this long is given up.
STALL_SECONDS = 10.0
#: The same, while other requests wait for the memory that its answer occupies.
STALL_SECONDS_IF_AWAITED = 1.0
#: No answer takes longer than this to send.
MAX_SEND_SECONDS = 60.0
#: Longest wait for a caller before the limits are checked again.
CHECK_SECONDS = 0.5


class CallerStalledError(OSError):
    """The caller does not read its answer."""


class AnswerSender:
    """Sends the answers of one VM; `is_awaited` is told by the memory."""

    def __init__(self, clock: Clock, is_awaited: Callable[[], bool]) -> None:
        """Make a sender.

        Args:
            clock: The monotonic clock.
            is_awaited: Returns whether requests wait for the memory that
                answers occupy until they are sent.
        """
        self._clock = clock
        self._is_awaited = is_awaited

    def send(self, caller: socket.socket, parts: Sequence[bytes]) -> None:
        """Send an answer.

        Args:
            caller: The caller's socket.
            parts: The bytes of the answer, in order.

        Raises:
            CallerStalledError: If the caller reads nothing for too long.
            OSError: If the connection fails.
        """
        if sum(map(len, parts)) <= MAX_JOINED_BYTES:
            parts = (b''.join(parts),)
        caller.settimeout(CHECK_SECONDS)
        started_at = self._clock.monotonic()
        for part in parts:
            self._send_part(caller, memoryview(part), started_at)

    def _send_part(
        self, caller: socket.socket, unsent: memoryview, started_at: float
    ) -> None:
        progress_at = self._clock.monotonic()
        while unsent:
            try:
                sent_bytes = caller.send(unsent)
            except TimeoutError:
                sent_bytes = 0
            now = self._clock.monotonic()
            if sent_bytes:
                progress_at = now
                unsent = unsent[sent_bytes:]
            self._check(now - progress_at, now - started_at, len(unsent))

    def _check(self, stalled: float, taken: float, unsent_bytes: int) -> None:
        """Raise an error if a caller has stalled, or takes too long.

        Args:
            stalled: For how long it has read nothing, in seconds.
            taken: For how long it has been sent the answer, in seconds.
            unsent_bytes: What it has not read.
        """
        limit = (
            STALL_SECONDS_IF_AWAITED if self._is_awaited() else STALL_SECONDS
        )
        if unsent_bytes and (stalled >= limit or taken >= MAX_SEND_SECONDS):
            raise CallerStalledError(
                f'caller reads nothing for {stalled:.1f} s after {taken:.1f} s,'
                f' {unsent_bytes} bytes unsent'
            )
