"""Queue of attempt outcomes from connection threads to the query thread.

Waking a thread costs more than handling an answer, so the query thread is
woken only for a failure, for an answer of a searcher that is leaving, or once
the number of outcomes that it waits for has arrived.
"""

import queue
from collections import deque

from basilwall.backend.pool import AttemptJob
from basilwall.records.attempt import Answered, AttemptOutcome

OutcomeEvent = tuple[AttemptJob, AttemptOutcome]


class Inbox:
    """Outcome queue of one query with many producers and one consumer."""

    def __init__(self) -> None:
        self._events: deque[OutcomeEvent] = deque()
        self._wakeups: queue.SimpleQueue[None] = queue.SimpleQueue()
        self._min_events = 0

    def put(self, job: AttemptJob, outcome: AttemptOutcome) -> None:
        """Add an outcome and wake the consumer if it has to act."""
        self._events.append((job, outcome))
        is_routine = isinstance(outcome, Answered) and not outcome.is_leaving
        if not is_routine or len(self._events) >= self._min_events:
            self._wakeups.put(None)

    def take(self, min_events: int, timeout: float) -> OutcomeEvent | None:
        """Return the oldest event; wait if there is none.

        Args:
            min_events: The number of answers to wait for; a failure ends the
                wait earlier.
            timeout: The longest wait, in seconds.

        Returns:
            An event, or None if none came before the timeout.
        """
        if not self._events:
            self._wait(min_events, timeout)
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
