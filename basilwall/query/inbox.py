"""Outcomes on their way from connections to the thread of their query.

Waking a thread costs more than handling an answer, so the thread is woken
only when there is something to decide: a failure, or as many outcomes as it
said to wait for.
"""

import queue
from collections import deque

from basilwall.backend.pool import AttemptJob
from basilwall.records.attempt import Answered, AttemptOutcome

OutcomeEvent = tuple[AttemptJob, AttemptOutcome]


class Inbox:
    """The events of one query, put by many threads and taken by one."""

    def __init__(self) -> None:
        self._events: deque[OutcomeEvent] = deque()
        self._wakeups: queue.SimpleQueue[None] = queue.SimpleQueue()
        self._min_events = 0

    def put(self, job: AttemptJob, outcome: AttemptOutcome) -> None:
        """Add an event, and wake the taker if it matters by now."""
        self._events.append((job, outcome))
        plain = isinstance(outcome, Answered) and not outcome.is_leaving
        if not plain or len(self._events) >= self._min_events:
            self._wakeups.put(None)

    def take(self, awaited: int, timeout: float) -> OutcomeEvent | None:
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

    def _wait(self, min_events: int, timeout: float) -> None:
        self._min_events = min_events
        if len(self._events) >= min_events:
            return
        try:
            self._wakeups.get(timeout=max(timeout, 0))
        except queue.Empty:
            return
