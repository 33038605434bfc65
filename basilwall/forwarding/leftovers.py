"""Attempts that lost to another one and still wait for their reply.

Closing their connections would cost a new connection each, and what they
tell of their searchers would be lost. One task waits for them, a short while.
"""

import queue
import threading

from basilwall.forwarding.exchange import Exchange
from basilwall.forwarding.pools import Pools
from basilwall.forwarding.waiting import Waiter
from basilwall.parts.clock import Clock
from basilwall.records.forwarding import AttemptResult, LossReason, Reply

#: Longest wait for a reply that nobody needs any more, in seconds.
PATIENCE = 1.0
#: Time between two looks at the clock, in seconds.
STEP = 0.05
#: Leftovers at once; further ones are closed.
MAX_LEFTOVERS = 256


class Leftovers:
    """The task that waits for replies that came too late to be used."""

    def __init__(self, pools: Pools, clock: Clock) -> None:
        self._pools = pools
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
        standing = self._pools.standing(exchange.connection.searcher)
        standing.ended(number)
        if isinstance(outcome, Reply) and outcome.is_success:
            standing.replied(self._clock.monotonic() - exchange.sent_at)
        if exchange.can_keep:
            self._pools.give_back(exchange.connection)
        else:
            self._pools.discard(exchange.connection)

    def _close_overdue(self) -> None:
        horizon = self._clock.monotonic() - PATIENCE
        for exchange in tuple(self._number_by_exchange):
            if exchange.sent_at < horizon:
                self._waiter.drop(exchange)
                self._end(exchange, exchange.give_up(LossReason.TIMEOUT))

    def _close(self, exchange: Exchange, number: int) -> None:
        self._pools.standing(exchange.connection.searcher).ended(number)
        self._pools.discard(exchange.connection)
