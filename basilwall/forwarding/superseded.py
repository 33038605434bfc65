"""Superseded attempts: in flight, but their results are no longer needed.

Closing their connections at once would cost a new connection for each, and
the reply times of their searchers would go unrecorded. So one thread waits a
short time for their replies.
"""

import queue
import threading
from collections.abc import Callable

from basilwall.forwarding.crash_detector import CrashDetector
from basilwall.forwarding.socket_attempt import SocketAttempt
from basilwall.forwarding.socket_waiter import SocketWaiter
from basilwall.forwarding.transport import Attempt
from basilwall.parts.clock import Clock
from basilwall.records.forwarding import AttemptResult, LossReason, Reply
from basilwall.routing.selection import SearcherSelector

#: How long after it was sent a superseded attempt may still be answered.
SUPERSEDED_TIMEOUT_SECONDS = 1.0
#: Interval between checks for timed-out attempts.
POLL_INTERVAL_SECONDS = 0.05
#: How often a thread with nothing to do looks whether it is to stop.
MAX_IDLE_SECONDS = 1.0
#: Further superseded attempts are closed at once.
MAX_SUPERSEDED_ATTEMPTS = 256


def record_superseded_result(
    selector: SearcherSelector,
    attempt: Attempt,
    attempt_number: int,
    outcome: AttemptResult,
    now: float,
) -> None:
    """Update the statistics of a searcher when a superseded attempt ends.

    Args:
        selector: Holds the statistics.
        attempt: The attempt.
        attempt_number: Its number in the statistics of its searcher.
        outcome: Its result.
        now: The time in monotonic seconds.
    """
    stats = selector.stats_of(attempt.searcher)
    stats.record_ended(attempt_number)
    if isinstance(outcome, Reply):
        selector.record_announcements(
            attempt.searcher, outcome, attempt.sent_at
        )
    if isinstance(outcome, Reply) and outcome.is_success:
        stats.record_reply(now - attempt.sent_at)


class SupersededAttempts:
    """Waits for the replies to superseded attempts in a thread of its own."""

    def __init__(
        self,
        selector: SearcherSelector,
        crash_detector: CrashDetector,
        clock: Clock,
    ) -> None:
        """Prepare the thread's work.

        Args:
            selector: Holds the statistics of searchers.
            crash_detector: Learns which searchers were lost or answered.
            clock: The monotonic clock.
        """
        self._selector = selector
        self._crash_detector = crash_detector
        #: Returns the connection of an attempt to its pool or closes it.
        self.release_connection: Callable[[SocketAttempt], None] = (
            _close_connection
        )
        self._clock = clock
        self._waiter = SocketWaiter()
        self._new_attempts: queue.SimpleQueue[tuple[SocketAttempt, int]] = (
            queue.SimpleQueue()
        )
        self._numbers_by_attempt: dict[SocketAttempt, int] = {}

    def add(self, attempt: SocketAttempt, attempt_number: int) -> None:
        """Take over an attempt from its request.

        Args:
            attempt: The attempt, which its request no longer waits for.
            attempt_number: Its number in the statistics of its searcher.
        """
        is_full = len(self._numbers_by_attempt) >= MAX_SUPERSEDED_ATTEMPTS
        is_waiting = attempt.is_waiting_for_room
        if is_full or is_waiting or not attempt.is_sent:
            self._close(attempt, attempt_number)
            return
        self._new_attempts.put((attempt, attempt_number))

    def run(self, stopping: threading.Event) -> None:
        """Wait for superseded attempts until `stopping` is set."""
        while not stopping.is_set():
            self._start_all()
            for attempt, outcome in self._waiter.wait(POLL_INTERVAL_SECONDS):
                self._note_and_end(attempt, outcome)
            self._close_overdue()

    def _start_all(self) -> None:
        """Start all that are queued; wait for one if none is in flight."""
        while self._start_next(block=not self._numbers_by_attempt):
            if self._new_attempts.empty():
                return

    def _start_next(self, *, block: bool) -> bool:
        """Start the next one; False if there is none."""
        try:
            attempt, attempt_number = self._new_attempts.get(
                block, timeout=MAX_IDLE_SECONDS
            )
        except queue.Empty:
            return False
        self._numbers_by_attempt[attempt] = attempt_number
        outcome = self._waiter.add(attempt)
        if outcome is not None:
            self._note_and_end(attempt, outcome)
        return True

    def _note_and_end(
        self, attempt: SocketAttempt, outcome: AttemptResult
    ) -> None:
        self._crash_detector.note_outcome(attempt.call, attempt, outcome)
        self._end(attempt, outcome)

    def _end(self, attempt: SocketAttempt, outcome: AttemptResult) -> None:
        attempt_number = self._numbers_by_attempt.pop(attempt)
        now = self._clock.monotonic()
        record_superseded_result(
            self._selector, attempt, attempt_number, outcome, now
        )
        self.release_connection(attempt)

    def _close_overdue(self) -> None:
        oldest_allowed = self._clock.monotonic() - SUPERSEDED_TIMEOUT_SECONDS
        for attempt in tuple(self._numbers_by_attempt):
            if attempt.sent_at < oldest_allowed:
                self._waiter.remove(attempt)
                self._end(attempt, attempt.cancel(LossReason.TIMEOUT))

    def _close(self, attempt: SocketAttempt, attempt_number: int) -> None:
        self._selector.stats_of(attempt.searcher).record_ended(attempt_number)
        self.release_connection(attempt)


def _close_connection(attempt: SocketAttempt) -> None:
    """Close a connection; replaced once there is a pool of connections."""
    attempt.close()
    attempt.connection.close()
