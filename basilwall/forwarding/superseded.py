"""Attempts that lost to another one and still wait for their reply.

Closing their connections would cost a new connection each, and what they
tell of their searchers would be lost. One task waits for them, a short while.
"""

import queue
import threading
from collections.abc import Callable

from basilwall.forwarding.socket_attempt import SocketAttempt
from basilwall.forwarding.socket_waiter import SocketWaiter
from basilwall.forwarding.transport import Attempt
from basilwall.parts.clock import Clock
from basilwall.records.forwarding import AttemptResult, LossReason, Reply
from basilwall.routing.selection import SearcherSelector

#: Longest wait for a reply that nobody needs any more, in seconds.
SUPERSEDED_TIMEOUT_SECONDS = 1.0
#: Time between two looks at the clock, in seconds.
POLL_INTERVAL_SECONDS = 0.05
#: Leftovers at once; further ones are closed.
MAX_SUPERSEDED_ATTEMPTS = 256


def record_superseded_result(
    placing: SearcherSelector,
    attempt: Attempt,
    number: int,
    outcome: AttemptResult,
    now: float,
) -> None:
    """Keep what the end of a leftover says of its searcher.

    Args:
        placing: Where it is kept.
        attempt: The attempt.
        number: What the standing of its searcher counts it by.
        outcome: Its result.
        now: The time in monotonic seconds.
    """
    standing = placing.stats_of(attempt.searcher)
    standing.record_ended(number)
    if isinstance(outcome, Reply) and outcome.is_success:
        standing.record_reply(now - attempt.sent_at)


class SupersededAttempts:
    """The task that waits for replies that came too late to be used."""

    def __init__(
        self,
        placing: SearcherSelector,
        end: Callable[[SocketAttempt], None],
        clock: Clock,
    ) -> None:
        """Make a task; `end` keeps or closes a connection after its reply."""
        self._selector = placing
        self._release_connection = end
        self._clock = clock
        self._waiter = SocketWaiter()
        self._new_attempts: queue.SimpleQueue[tuple[SocketAttempt, int]] = (
            queue.SimpleQueue()
        )
        self._numbers_by_attempt: dict[SocketAttempt, int] = {}

    def add(self, exchange: SocketAttempt, number: int) -> None:
        """Take over an attempt from its request.

        Args:
            exchange: The attempt; its request waits for it no more.
            number: What the standing of its searcher counts it by.
        """
        crowded = len(self._numbers_by_attempt) >= MAX_SUPERSEDED_ATTEMPTS
        if crowded or not exchange.is_sent:
            self._close(exchange, number)
            return
        self._new_attempts.put((exchange, number))

    def run(self, stopping: threading.Event) -> None:
        """Wait for leftovers until `stopping` is set."""
        while not stopping.is_set():
            self._start(block=not self._numbers_by_attempt)
            for exchange, outcome in self._waiter.wait(POLL_INTERVAL_SECONDS):
                self._end(exchange, outcome)
            self._close_overdue()

    def _start(self, *, block: bool) -> None:
        try:
            exchange, number = self._new_attempts.get(block, timeout=1)
        except queue.Empty:
            return
        self._numbers_by_attempt[exchange] = number
        outcome = self._waiter.add(exchange)
        if outcome is not None:
            self._end(exchange, outcome)
        if not self._new_attempts.empty():
            self._start(block=False)

    def _end(self, exchange: SocketAttempt, outcome: AttemptResult) -> None:
        number = self._numbers_by_attempt.pop(exchange)
        now = self._clock.monotonic()
        record_superseded_result(self._selector, exchange, number, outcome, now)
        self._release_connection(exchange)

    def _close_overdue(self) -> None:
        horizon = self._clock.monotonic() - SUPERSEDED_TIMEOUT_SECONDS
        for exchange in tuple(self._numbers_by_attempt):
            if exchange.sent_at < horizon:
                self._waiter.remove(exchange)
                self._end(exchange, exchange.cancel(LossReason.TIMEOUT))

    def _close(self, exchange: SocketAttempt, number: int) -> None:
        self._selector.stats_of(exchange.searcher).record_ended(number)
        self._release_connection(exchange)
