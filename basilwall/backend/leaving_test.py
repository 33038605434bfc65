"""A pool whose searcher announces in a reply that it is leaving."""

import queue
import socket
import time
from contextlib import closing

from basilwall.backend.pool import AttemptJob, SearcherPool
from basilwall.parts.clock import SystemClock
from basilwall.parts.leaving_searchers import LeavingSearchers
from basilwall.parts.tasks import task_group
from basilwall.records.attempt import (
    AttemptRequest,
    NotRun,
    OutcomeTag,
    RequestKind,
)

LEAVING = b'{"outcome":"leaving","attempt_id":"a"}'


def submit(pool):
    ended = queue.SimpleQueue()
    request = AttemptRequest(
        service='s',
        instance='i',
        kind=RequestKind.NON_IDEMPOTENT,
        request_id='r',
        attempt_id='a',
        snapshot='s1',
        body=b'{}',
        deadline=time.monotonic() + 5,
    )
    pool.submit(AttemptJob(request, lambda _, outcome: ended.put(outcome)))
    return ended


def test_queued_attempts_are_not_sent_to_leaving_searcher():
    clock = SystemClock()
    leaving_searchers = LeavingSearchers(clock)
    with socket.create_server(('127.0.0.1', 0)) as server:
        server.settimeout(5)
        address = f'127.0.0.1:{server.getsockname()[1]}'
        pool = SearcherPool(address, 1, clock, leaving_searchers)
        with task_group('test') as tasks, closing(pool):
            first, waiting = submit(pool), submit(pool)
            pool.start(tasks)
            searcher, _ = server.accept()
            with searcher:
                searcher.settimeout(5)
                assert searcher.recv(65536).startswith(b'POST')
                head = b'HTTP/1.1 503 .\r\nContent-Length: %d\r\n\r\n'
                searcher.sendall(head % len(LEAVING) + LEAVING)
                assert first.get(timeout=5).tag is OutcomeTag.LEAVING
                outcome = waiting.get(timeout=5)
                assert isinstance(outcome, NotRun)
                assert outcome.detail == 'leaving'
    assert leaving_searchers.is_leaving(address)
