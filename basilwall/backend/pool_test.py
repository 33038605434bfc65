"""Closing a pool while attempts are submitted to it."""

import threading
from concurrent.futures import Future

from basilwall.backend.pool import AttemptJob, SearcherPool
from basilwall.parts.clock import ManualClock
from basilwall.parts.leaving_searchers import LeavingSearchers
from basilwall.parts.tasks import task_group
from basilwall.records.attempt import AttemptRequest, NotRun, RequestKind


class LockThatClosesAfter:
    """Closes the pool as soon as the lock is first released."""

    def __init__(self, pool):
        self._lock = threading.Lock()
        self._actions = [pool.close]

    def __enter__(self):
        self._lock.acquire()

    def __exit__(self, *_):
        self._lock.release()
        if self._actions:
            self._actions.pop()()


def test_job_submitted_while_pool_closes_is_delivered():
    clock = ManualClock()
    with task_group('test') as tasks:
        pool = SearcherPool(
            '127.0.0.1:1', 1, clock, LeavingSearchers(clock, 'x')
        )
        pool._lock = LockThatClosesAfter(pool)
        arrived = Future()
        request = AttemptRequest(
            service='desk',
            instance='desk-0',
            kind=RequestKind.IDEMPOTENT,
            request_id='r',
            attempt_id='r.1',
            snapshot='s1',
            body=b'{}',
            deadline=clock.monotonic(),
        )
        pool.submit(AttemptJob(request, lambda _, got: arrived.set_result(got)))
        pool.start(tasks)
        assert isinstance(arrived.result(timeout=5), NotRun)
