"""Outcomes on their way from connections to the thread of their query.

Waking a thread costs more than handling an answer, so the thread is woken
only when there is something to decide: a failure, or as many outcomes as it
said to wait for.
"""

import queue
from collections import deque

from basilwall.backend.pool import AttemptJob
from basilwall.records.attempt import Answered, AttemptOutcome

Event = tuple[AttemptJob, AttemptOutcome]


class Inbox:
    """The events of one query, put by many threads and taken by one."""

    def __init__(self) -> None:
        self._events: deque[Event] = deque()
        self._bell: queue.SimpleQueue[None] = queue.SimpleQueue()
        self._awaited = 0

    def put(self, job: AttemptJob, outcome: AttemptOutcome) -> None:
        """Add an event, and wake the taker if it matters by now."""
        self._events.append((job, outcome))
        plain = isinstance(outcome, Answered) and not outcome.leaving
        if not plain or len(self._events) >= self._awaited:
            self._bell.put(None)

    def take(self, awaited: int, timeout: float) -> Event | None:
        """Return the oldest event, waiting for some if there is none.

        Args:
            awaited: How many events are worth waking up for.
            timeout: The longest wait, in seconds.

        Returns:
            An event, or None if the time was up before any came.
        """
        if not self._events:
            self._wait(awaited, timeout)
        try:
            return self._events.popleft()
        except IndexError:
            return None

    def _wait(self, awaited: int, timeout: float) -> None:
        self._awaited = awaited
        if len(self._events) >= awaited:
            return
        try:
            self._bell.get(timeout=max(timeout, 0))
        except queue.Empty:
            return
