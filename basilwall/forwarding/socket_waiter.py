"""Polls the sockets of one request's attempts and of its caller."""

import select
import socket
import time
from collections.abc import Iterator
from contextlib import suppress

from basilwall.forwarding.socket_attempt import SocketAttempt
from basilwall.forwarding.transport import AttemptWaiter, CallerLeftError
from basilwall.records.forwarding import AttemptResult

MS_PER_SECOND = 1000
#: Bounds a single poll, so that a resumed process re-checks its deadlines
#: and one without links its state.
MAX_WAIT_SECONDS = 0.25
#: Replies to this many attempts or more are read in batches, each this long: a
#: request waits for all of them, and each wake-up takes processor time.
MIN_BATCHED_ATTEMPTS = 6
BATCH_SECONDS = 0.002
#: How often a reply that waits for room looks for it.
ROOM_CHECK_SECONDS = 0.02
_DISCONNECT_EVENTS = select.POLLHUP | select.POLLERR | select.POLLRDHUP


class SocketWaiter(AttemptWaiter[SocketAttempt]):
    """Waits for the sockets of one request."""

    def __init__(self, caller: socket.socket | None = None) -> None:
        self._poll = select.poll()
        self._attempts_by_descriptor: dict[int, SocketAttempt] = {}
        #: Those whose replies wait for room; their sockets are not polled.
        self._paused_descriptors: set[int] = set()
        self._caller = caller
        self._caller_descriptor = -1
        if caller is not None:
            self._caller_descriptor = caller.fileno()
            self._poll.register(caller, select.POLLIN | select.POLLRDHUP)

    @property
    def attempts(self) -> list[SocketAttempt]:
        """The attempts that are being waited for."""
        return list(self._attempts_by_descriptor.values())

    def add(self, attempt: SocketAttempt) -> AttemptResult | None:
        """Start an attempt and return its result if it has already ended."""
        result = None
        if attempt.is_connected:
            result = attempt.advance()
        if result is None:
            descriptor = attempt.connection.socket.fileno()
            self._attempts_by_descriptor[descriptor] = attempt
            self._watch(descriptor, attempt)
        return result

    def remove(self, attempt: SocketAttempt) -> None:
        """Stop waiting for an attempt."""
        descriptor = attempt.connection.socket.fileno()
        if self._attempts_by_descriptor.pop(descriptor, None) is None:
            return
        if descriptor in self._paused_descriptors:
            self._paused_descriptors.discard(descriptor)
        else:
            self._poll.unregister(descriptor)

    def wait(
        self,
        seconds: float,
    ) -> Iterator[tuple[SocketAttempt, AttemptResult]]:
        """Wait for results.

        Args:
            seconds: The maximum time to wait.

        Yields:
            Each attempt that ended, with its result.

        Raises:
            CallerLeftError: If the caller closed its connection.
        """
        timeout = min(max(seconds, 0), MAX_WAIT_SECONDS)
        if len(self._attempts_by_descriptor) >= MIN_BATCHED_ATTEMPTS:
            time.sleep(min(timeout, BATCH_SECONDS))
            timeout = max(timeout - BATCH_SECONDS, 0)
        if self._paused_descriptors:
            timeout = min(timeout, ROOM_CHECK_SECONDS)
        ready = self._poll.poll(timeout * MS_PER_SECOND)
        events_by_descriptor = dict(ready)
        self._check_caller(events_by_descriptor.pop(self._caller_descriptor, 0))
        for descriptor in (*self._paused_descriptors, *events_by_descriptor):
            attempt = self._attempts_by_descriptor.get(descriptor)
            if attempt is None:
                continue
            result = attempt.advance()
            if result is None:
                self._watch(descriptor, attempt)
            else:
                self.remove(attempt)
                yield attempt, result

    def _watch(self, descriptor: int, attempt: SocketAttempt) -> None:
        """Poll a socket unless its reply waits for room."""
        is_paused = descriptor in self._paused_descriptors
        if not attempt.is_waiting_for_room:
            self._paused_descriptors.discard(descriptor)
            self._poll.register(descriptor, _poll_events(attempt))
        elif not is_paused:
            self._paused_descriptors.add(descriptor)
            with suppress(KeyError):
                self._poll.unregister(descriptor)

    def _check_caller(self, events: int) -> None:
        caller = self._caller
        if caller is None or not events:
            return
        if events & _DISCONNECT_EVENTS:
            raise CallerLeftError
        try:
            peeked = caller.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return
        except OSError as error:
            raise CallerLeftError from error
        if not peeked:
            raise CallerLeftError
        # The caller pipelined its next request, which is read later; watch only
        # for a disconnect, else poll would return at once.
        self._poll.modify(caller, select.POLLRDHUP)


def _poll_events(attempt: SocketAttempt) -> int:
    if attempt.is_waiting_to_write:
        return select.POLLOUT | select.POLLIN
    return select.POLLIN
