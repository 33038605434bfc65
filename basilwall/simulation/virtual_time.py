"""Event loop of a simulation: a virtual clock, events and blocking tasks.

The production code that runs requests blocks, so each request has a thread.
Only one thread runs at a time, and the next event is processed only after the
thread has paused or ended. A run is therefore determined by its seed.
"""

import heapq
import itertools
import threading
from collections.abc import Callable, Iterator
from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager
from typing import NamedTuple

from basilwall.parts.clock import Clock

#: Limit on requests in flight, which have a thread each.
MAX_TASKS = 3000


class Task:
    """Blocking work on a thread; it runs only from `resume` to `pause`."""

    def __init__(self, work: Callable[['Task'], None]) -> None:
        self._work = work
        self._resumed = threading.Semaphore(0)
        self._paused = threading.Semaphore(0)
        self._error: BaseException | None = None

    def run(self) -> None:
        """Wait for the first `resume` and do the work; run by the thread."""
        self._resumed.acquire()
        try:
            self._work(self)
        except BaseException as error:
            self._error = error
        finally:
            self._paused.release()

    def resume(self) -> None:
        """Continue the work until it pauses or ends; called by an event.

        Raises:
            BaseException: The exception that the work raised.
        """
        self._resumed.release()
        self._paused.acquire()
        if self._error is not None:
            raise self._error

    def pause(self) -> None:
        """Wait for the next `resume`; called by the work."""
        self._paused.release()
        self._resumed.acquire()


class _ScheduledEvent(NamedTuple):
    due_at: float
    #: Events due at the same time are processed in order of this number.
    number: int
    action: Callable[[], None]


class VirtualTime(Clock):
    """Virtual clock and queue of events; time starts at 0 seconds."""

    def __init__(self, pool: ThreadPoolExecutor) -> None:
        self._pool = pool
        self._now: float = 0
        self._events: list[_ScheduledEvent] = []
        self._event_numbers = itertools.count()

    def monotonic(self) -> float:
        """Return the time of the current event, in seconds."""
        return self._now

    def wall(self) -> float:
        """Return the same time as `monotonic`."""
        return self._now

    def call_at(self, due_at: float, action: Callable[[], None]) -> None:
        """Schedule `action` at a time; a time that has passed means now.

        Actions due at the same time run in the order of their scheduling.
        """
        event = _ScheduledEvent(
            max(due_at, self._now), next(self._event_numbers), action
        )
        heapq.heappush(self._events, event)

    def call_later(self, seconds: float, action: Callable[[], None]) -> None:
        """Schedule `action` in `seconds` from now."""
        self.call_at(self._now + seconds, action)

    def start(self, work: Callable[[Task], None]) -> None:
        """Start blocking work now, on a thread of its own."""
        task = Task(work)
        self._pool.submit(task.run)
        self.call_at(self._now, task.resume)

    def run(self) -> None:
        """Process events in order of time until none is left."""
        while self._events:
            event = heapq.heappop(self._events)
            self._now = event.due_at
            event.action()


@contextmanager
def virtual_time() -> Iterator[VirtualTime]:
    """Provide virtual time; its threads end with the `with` block."""
    with ThreadPoolExecutor(MAX_TASKS, thread_name_prefix='virtual') as pool:
        yield VirtualTime(pool)
