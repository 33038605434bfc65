"""Attempts that lost to another one and still wait for their reply.

Closing their connections would cost a new connection each, and what they
tell of their searchers would be lost. One task waits for them, a short while.
"""

import queue
import threading
from collections.abc import Callable

from basilwall.forwarding.exchange import Exchange
from basilwall.forwarding.transport import Attempt
from basilwall.forwarding.waiting import Waiter
from basilwall.parts.clock import Clock
from basilwall.records.forwarding import AttemptResult, LossReason, Reply
from basilwall.routing.placing import Placing

#: Longest wait for a reply that nobody needs any more, in seconds.
PATIENCE = 1.0
#: Time between two looks at the clock, in seconds.
STEP = 0.05
#: Leftovers at once; further ones are closed.
MAX_LEFTOVERS = 256


def note_leftover(
    placing: Placing,
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
    standing = placing.standing(attempt.searcher)
    standing.ended(number)
    if isinstance(outcome, Reply) and outcome.is_success:
        standing.replied(now - attempt.sent_at)


class Leftovers:
    """The task that waits for replies that came too late to be used."""

    def __init__(
        self,
        placing: Placing,
        end: Callable[[Exchange], None],
        clock: Clock,
    ) -> None:
        """Make a task; `end` keeps or closes a connection after its reply."""
        self._placing = placing
        self._end_exchange = end
        self._clock = clock
        self._waiter = Waiter()
        self._fresh: queue.SimpleQueue[tuple[Exchange, int]] = (
            queue.SimpleQueue()
        )
        self._number_by_exchange: dict[Exchange, int] = {}

    def take(self, exchange: Exchange, number: int) -> None:
        """Take over an attempt from its request.

        Args:
            exchange: The attempt; its request waits for it no more.
            number: What the standing of its searcher counts it by.
        """
        crowded = len(self._number_by_exchange) >= MAX_LEFTOVERS
        if crowded or not exchange.is_sent:
            self._close(exchange, number)
            return
        self._fresh.put((exchange, number))

    def run(self, stopping: threading.Event) -> None:
        """Wait for leftovers until `stopping` is set."""
        while not stopping.is_set():
            self._start(block=not self._number_by_exchange)
            for exchange, outcome in self._waiter.wait(STEP):
                self._end(exchange, outcome)
            self._close_overdue()

    def _start(self, *, block: bool) -> None:
        try:
            exchange, number = self._fresh.get(block, timeout=1)
        except queue.Empty:
            return
        self._number_by_exchange[exchange] = number
        outcome = self._waiter.add(exchange)
        if outcome is not None:
            self._end(exchange, outcome)
        if not self._fresh.empty():
            self._start(block=False)

    def _end(self, exchange: Exchange, outcome: AttemptResult) -> None:
        number = self._number_by_exchange.pop(exchange)
        now = self._clock.monotonic()
        note_leftover(self._placing, exchange, number, outcome, now)
        self._end_exchange(exchange)

    def _close_overdue(self) -> None:
        horizon = self._clock.monotonic() - PATIENCE
        for exchange in tuple(self._number_by_exchange):
            if exchange.sent_at < horizon:
                self._waiter.drop(exchange)
                self._end(exchange, exchange.give_up(LossReason.TIMEOUT))

    def _close(self, exchange: Exchange, number: int) -> None:
        self._placing.standing(exchange.searcher).ended(number)
        self._end_exchange(exchange)
