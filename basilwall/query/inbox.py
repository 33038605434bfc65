"""Where the outcomes of a query's attempts arrive, in the order they end."""

import queue

from basilwall.backend.pool import AttemptJob
from basilwall.records.attempt import AttemptOutcome

Event = tuple[AttemptJob, AttemptOutcome]


class Inbox:
    """Filled by the tasks of connections, emptied by the caller's thread."""

    def __init__(self) -> None:
        self._events: queue.SimpleQueue[Event] = queue.SimpleQueue()

    def put(self, job: AttemptJob, outcome: AttemptOutcome) -> None:
        """Add the outcome of an attempt."""
        self._events.put((job, outcome))

    def take(self, wait: float) -> Event | None:
        """Return the next outcome, or None after `wait` seconds."""
        try:
            return self._events.get(timeout=max(wait, 0))
        except queue.Empty:
            return None
