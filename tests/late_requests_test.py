"""Requests that come late in a planned stop are answered, all of them."""

import threading
import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from tests.entry_stage import (
    BOUNDS,
    ROUTES,
    ask,
    request,
    route,
    split,
    staged,
    status_of,
    table,
    wait_until,
)

GRACE_SECONDS = BOUNDS['grace_s']
WORK_SECONDS = 4.5
#: The load balancer sends no new callers by then.
LATE_SECONDS = 3.5
#: Callers of these routes wait for longer than a stop lasts.
SLOW_ROUTES = (
    route('/slow/', service='single', timeout_ms=20_000),
    route(
        '/slow-once/',
        service='single',
        timeout_ms=20_000,
        type='non_idempotent',
    ),
)


@pytest.fixture(name='stage')
def _stage(tmp_path):
    with staged(tmp_path) as stage:
        stage.store.put('op/config', table(2, [*ROUTES, *SLOW_ROUTES]))
        wait_until(
            lambda: status_of(ask(stage.caller, request('/slow/a'))) == 200
        )
        for searcher in stage.searcher_by_id.values():
            searcher.seen.clear()
            searcher.work_seconds = WORK_SECONDS
        yield stage


def raw_request(path, number):
    """Return a request of a caller that waits for 15 s."""
    return request(
        path,
        f'id-{number}',
        method='POST' if 'once' in path else 'GET',
        body=b'x',
        Request_Deadline_Ms='15000',
    )


class Stop:
    """A planned stop; its end is that of the process."""

    def __init__(self, vm):
        self.began_at = time.monotonic()
        self.is_over = threading.Event()
        self.took_seconds = None
        self.is_complete = None
        self._vm = vm
        threading.Thread(target=self._run, daemon=True).start()

    def wait_until(self, seconds):
        time.sleep(max(self.began_at + seconds - time.monotonic(), 0))

    def _run(self):
        self.is_complete = self._vm.stop()
        self.took_seconds = time.monotonic() - self.began_at
        self.is_over.set()


def ask_at(stage, stop, seconds, path, number):
    """Ask some time after the stop began.

    Returns:
        The answer and when it came, in seconds since the stop began.
    """
    stop.wait_until(seconds)
    answer = ask(stage.caller, raw_request(path, number), timeout=20)
    return answer, time.monotonic() - stop.began_at


def outcomes(stage, path):
    """Ask in turn during a stop; return the outcomes by time."""
    stop = Stop(stage.vm)
    times = [0.5, 2.5, 3.2, 3.6, 3.9, 4.1]
    with ThreadPoolExecutor(len(times)) as pool:
        asked = {
            seconds: pool.submit(ask_at, stage, stop, seconds, path, number)
            for number, seconds in enumerate(times)
        }
        assert stop.is_over.wait(2 * GRACE_SECONDS)
        assert stop.is_complete
        assert stop.took_seconds < GRACE_SECONDS
        return stop, {
            seconds: future.result() for seconds, future in asked.items()
        }


def ran(stage):
    return {
        one.header(b'request-id') for one in stage.seen('single') if one.has_run
    }


@pytest.mark.parametrize('path', ['/slow/a', '/slow-once/a'])
def test_no_late_request_is_cut_off_at_the_end_of_a_stop(stage, path):
    stop, outcome_by_time = outcomes(stage, path)
    for answer, answered_at in outcome_by_time.values():
        headers, _ = split(answer)
        assert status_of(answer) in {200, 502, 503}
        assert int(headers[b'content-length']) >= 0
        assert answered_at < stop.took_seconds + 0.1


def test_a_late_request_that_may_run_once_is_refused_and_does_not_run(stage):
    _, outcome_by_time = outcomes(stage, '/slow-once/a')
    ran_ids = ran(stage)
    for number, (seconds, outcome) in enumerate(outcome_by_time.items()):
        if seconds < LATE_SECONDS:
            continue
        answer, answered_at = outcome
        headers, _ = split(answer)
        assert status_of(answer) == 503
        assert answered_at < seconds + 0.5
        assert float(headers[b'retry-after']) < 1
        assert f'id-{number}'.encode() not in ran_ids


def test_a_late_request_that_takes_no_time_is_served(stage):
    for searcher in stage.searcher_by_id.values():
        searcher.work_seconds = 0
    stop = Stop(stage.vm)
    for number, seconds in enumerate((0.5, 1.5, 2.5)):
        answer, _ = ask_at(stage, stop, seconds, '/slow/a', number)
        assert status_of(answer) == 200
    assert stop.is_over.wait(2 * GRACE_SECONDS)
