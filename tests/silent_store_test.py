"""Soon after the store is back from an outage, its changes are in force."""

import time
from contextlib import contextmanager

import pytest

from tests.entry_stage import (
    ask,
    other_vm,
    publish_route,
    request,
    seconds_until_served,
    staged,
    status_of,
    wait_until,
)

#: Wanted of each VM, whatever the outage was.
IN_FORCE_SECONDS = 1.0
#: Time from the end of an outage to the next change.
PAUSE_SECONDS = 0.1


@pytest.fixture(name='stage')
def _stage(tmp_path):
    with staged(tmp_path) as stage:
        yield stage


@contextmanager
def silent(store):
    """Lose all requests and replies for the length of a block."""
    store.is_silent = True
    yield
    store.is_silent = False


@contextmanager
def busy(store):
    """Answer all requests with an error for the length of a block."""
    store.is_down = True
    yield
    store.is_down = False


@contextmanager
def refused(store):
    """Reset and refuse all connections for the length of a block."""
    store.stop()
    yield
    store.start()


def play_outage(store, phases):
    """Let phases of an outage follow each other; return when it ended."""
    for trouble, seconds in phases:
        with trouble(store):
            time.sleep(seconds)
    return time.monotonic()


def change_after_outage(stage, callers, phases):
    """Return the longest time from an outage's end until a change is in force.

    A change right before the outage makes all VMs call the store.
    """
    path = publish_route(stage, 2)
    for caller in callers:
        seconds_until_served(caller, path)
    ended_at = play_outage(stage.store, phases)
    time.sleep(PAUSE_SECONDS)
    path = publish_route(stage, 3)
    for caller in callers:
        seconds_until_served(caller, path)
    return time.monotonic() - ended_at


@pytest.mark.parametrize(
    'phases',
    [
        pytest.param([(silent, 2.2)], id='silent-2.2'),
        pytest.param([(silent, 3.3)], id='silent-3.3'),
        pytest.param([(silent, 5.7)], id='silent-5.7'),
        pytest.param([(silent, 8.5)], id='silent-8.5'),
        pytest.param([(busy, 4.5), (silent, 3.7)], id='busy-silent'),
        pytest.param([(silent, 4.5), (busy, 3.0)], id='silent-busy'),
        pytest.param([(refused, 4.5), (silent, 3.0)], id='refused-silent'),
        pytest.param([(silent, 4.5), (refused, 3.0)], id='silent-refused'),
    ],
)
def test_a_change_after_an_outage_waits_for_no_call_made_in_it(stage, phases):
    seconds = change_after_outage(stage, [stage.caller], phases)
    assert seconds < IN_FORCE_SECONDS


def test_two_vms_do_not_wait_in_step_for_a_silent_store(stage, tmp_path):
    folder = tmp_path / 'other'
    folder.mkdir()
    with other_vm(stage, folder) as other:
        callers = [stage.caller, other.caller]
        seconds = change_after_outage(stage, callers, [(silent, 5.7)])
    assert seconds < IN_FORCE_SECONDS


def test_a_searcher_that_leaves_after_a_silent_outage_gets_no_more_work(stage):
    path = publish_route(stage, 2)
    seconds_until_served(stage.caller, path)
    ended_at = play_outage(stage.store, [(silent, 5.7)])
    time.sleep(PAUSE_SECONDS)
    stage.list_searcher('single.near', 'single', state='draining')
    near = stage.searcher_by_id['single.near']

    def reaches_near():
        near.seen.clear()
        assert status_of(ask(stage.caller, request('/one/a'))) == 200
        return bool(near.seen)

    wait_until(lambda: not reaches_near())
    assert time.monotonic() - ended_at < IN_FORCE_SECONDS
