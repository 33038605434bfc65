"""A clock that jumps from event to event, and tasks that wait on it.

Requests are run by blocking code, so each has a thread. Only one of them goes
on at a time, and the next event is taken up once it waits again: so a run
depends on its seed alone.
"""

import heapq
import itertools
import threading
from collections.abc import Callable, Iterator
from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager
from typing import NamedTuple

from basilwall.parts.clock import Clock

#: Requests that may be in flight at once.
MAX_TASKS = 3000


class Task:
    """Blocking work on a thread that runs only between `resume` and `pause`."""

    def __init__(self, work: Callable[['Task'], None]) -> None:
        self._work = work
        self._resumed = threading.Semaphore(0)
        self._paused = threading.Semaphore(0)
        self._error: BaseException | None = None

    def run(self) -> None:
        """Do the work, from the first `resume` on."""
        self._resumed.acquire()
        try:
            self._work(self)
        except BaseException as error:
            self._error = error
        finally:
            self._paused.release()

    def resume(self) -> None:
        """Let the work go on until it pauses or ends; called by an event.

        Raises:
            BaseException: What the work failed with.
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
    #: Keeps events of one moment in order.
    number: int
    action: Callable[[], None]


class VirtualTime(Clock):
    """Events by their moment, in seconds from zero."""

    def __init__(self, pool: ThreadPoolExecutor) -> None:
        self._pool = pool
        self._now: float = 0
        self._events: list[_ScheduledEvent] = []
        self._event_numbers = itertools.count()

    def monotonic(self) -> float:
        """Return the moment of the event that is taken up."""
        return self._now

    def wall(self) -> float:
        """Return the same: both clocks move together."""
        return self._now

    def call_at(self, due_at: float, action: Callable[[], None]) -> None:
        """Do `action` at a moment, events of one moment in order."""
        event = _ScheduledEvent(
            max(due_at, self._now), next(self._event_numbers), action
        )
        heapq.heappush(self._events, event)

    def call_later(self, seconds: float, action: Callable[[], None]) -> None:
        """Do `action` in `seconds`."""
        self.call_at(self._now + seconds, action)

    def start(self, work: Callable[[Task], None]) -> None:
        """Begin blocking work now, on a thread of its own."""
        task = Task(work)
        self._pool.submit(task.run)
        self.call_at(self._now, task.resume)

    def run(self) -> None:
        """Take up event after event until none is left."""
        while self._events:
            event = heapq.heappop(self._events)
            self._now = event.due_at
            event.action()


@contextmanager
def virtual_time() -> Iterator[VirtualTime]:
    """Own the threads of a simulation for the length of a block."""
    with ThreadPoolExecutor(MAX_TASKS, thread_name_prefix='virtual') as pool:
        yield VirtualTime(pool)
