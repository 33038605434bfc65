"""Tests of tasks that fail."""

import threading

from basilwall.parts.tasks import task_group

WAIT_SECONDS = 5


def test_one_unexpected_error_does_not_end_a_loop_for_good(caplog):
    runs, has_recovered = [], threading.Event()

    def loop():
        runs.append(len(runs))
        if len(runs) == 1:
            raise KeyError('unexpected')
        has_recovered.set()

    with task_group('test') as tasks:
        tasks.start_loop(loop)
        assert has_recovered.wait(WAIT_SECONDS)
    assert runs == [0, 1]
    assert 'task failed, starts again' in caplog.text


def test_a_loop_that_always_fails_ends_with_its_group():
    has_failed = threading.Event()

    def loop():
        has_failed.set()
        raise KeyError('unexpected')

    with task_group('test') as tasks:
        future = tasks.start_loop(loop)
        assert has_failed.wait(WAIT_SECONDS)
    assert future.done()
