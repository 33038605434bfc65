"""Long-running tasks with one owner and one end.

Every connection and every peer is one task on a thread pool. The group hands
each task an event that says when to end, and logs a task that fails, since a
future that nobody reads would hide the error.
"""

import logging
import threading
from collections.abc import Callable, Iterator
from concurrent.futures import Future, ThreadPoolExecutor
from contextlib import contextmanager

#: Threads are made on demand; this only bounds a runaway.
MAX_TASKS = 4096

_log = logging.getLogger(__name__)


class TaskGroup:
    """Tasks that end together."""

    def __init__(self, name: str, max_tasks: int = MAX_TASKS) -> None:
        self._pool = ThreadPoolExecutor(max_tasks, thread_name_prefix=name)
        self.stopping = threading.Event()

    def start(self, task: Callable[[], None]) -> Future[None]:
        """Start `task` on a thread of its own.

        Args:
            task: Returns soon after `stopping` is set.

        Returns:
            A future that ends with the task.

        Raises:
            RuntimeError: If the group has already been closed.
        """
        future = self._pool.submit(task)
        future.add_done_callback(_log_failure)
        return future

    def close(self) -> None:
        """Tell all tasks to end and wait until they have."""
        self.stopping.set()
        self._pool.shutdown(wait=True)


@contextmanager
def task_group(name: str) -> Iterator[TaskGroup]:
    """Own a group of tasks for the length of a block."""
    group = TaskGroup(name)
    try:
        yield group
    finally:
        group.close()


def _log_failure(future: Future[None]) -> None:
    error = None if future.cancelled() else future.exception()
    if error is not None:
        _log.error('task failed', exc_info=error)
