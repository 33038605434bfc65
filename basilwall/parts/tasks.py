"""Groups of long-running tasks that are stopped together.

Every connection and every peer is one task on a thread pool. Tasks end once
the event `stopping` of their group is set. The group logs the exception of a
task that fails, since nobody may read its future.
"""

import logging
import threading
from collections.abc import Callable, Iterator
from concurrent.futures import Future, ThreadPoolExecutor
from contextlib import contextmanager
from functools import partial

#: Threads are started on demand; this bounds their number.
MAX_TASKS = 4096
#: Pause before a loop that failed starts again.
RESTART_PAUSE_SECONDS = 0.5

_log = logging.getLogger(__name__)


class TaskGroup:
    """Tasks that are stopped together.

    `stopping` is set when the tasks are to end.
    """

    def __init__(self, name: str, max_tasks: int = MAX_TASKS) -> None:
        self._pool = ThreadPoolExecutor(max_tasks, thread_name_prefix=name)
        self.stopping = threading.Event()

    def start(self, task: Callable[[], None]) -> Future[None]:
        """Start `task` on a thread of its own.

        Args:
            task: A function that returns soon after `stopping` is set.

        Returns:
            A future that is done once the task has ended.

        Raises:
            RuntimeError: If the group has already been closed.
        """
        future = self._pool.submit(task)
        future.add_done_callback(_log_failure)
        return future

    def start_loop(self, loop: Callable[[], None]) -> Future[None]:
        """Start a task that the VM can't do without.

        If it raises an exception, that is logged and it starts again.

        Args:
            loop: A function that returns soon after `stopping` is set.

        Returns:
            A future that is done once the loop has returned.
        """
        return self.start(partial(_run_again_after_errors, loop, self.stopping))

    def close(self) -> None:
        """Stop all tasks and wait until they have ended."""
        self.stopping.set()
        self._pool.shutdown(wait=True)


@contextmanager
def task_group(name: str) -> Iterator[TaskGroup]:
    """Create a group of tasks and close it at the end of the block."""
    group = TaskGroup(name)
    try:
        yield group
    finally:
        group.close()


def _log_failure(future: Future[None]) -> None:
    error = None if future.cancelled() else future.exception()
    if error is not None:
        _log.error('task failed', exc_info=error)


def _run_again_after_errors(
    loop: Callable[[], None], stopping: threading.Event
) -> None:
    while True:
        try:
            return loop()
        except Exception:
            _log.exception('task failed, starts again')
        if stopping.wait(RESTART_PAUSE_SECONDS):
            return None
