"""A new route table is in force in its bound, whatever the store does."""

import time

import pytest

from tests.entry_stage import (
    BOUNDS,
    ask,
    other_vm,
    publish_route,
    request,
    seconds_until_served,
    staged,
    status_of,
    wait_until,
)

MS_PER_SECOND = 1000
BOUND_SECONDS = BOUNDS['config_apply_ms'] / MS_PER_SECOND


@pytest.fixture(name='stage')
def _stage(tmp_path):
    with staged(tmp_path) as stage:
        yield stage


def test_a_vm_that_the_store_turns_away_gets_a_new_table_in_time(
    stage, tmp_path
):
    folder = tmp_path / 'other'
    folder.mkdir()
    with other_vm(stage, folder) as other:
        other.way_to_store.cut()
        path = publish_route(stage, 2)
        assert seconds_until_served(other.caller, path) < BOUND_SECONDS


def test_a_table_is_in_force_though_its_revision_was_given_out_before(stage):
    copy = stage.store.copy()
    for version in range(2, 12):
        lost = publish_route(stage, version)
    seconds_until_served(stage.caller, lost)
    stage.store.restore(copy)
    path = publish_route(stage, 12)
    assert seconds_until_served(stage.caller, path) < BOUND_SECONDS


def test_a_table_in_force_stays_if_the_store_returns_with_an_older_one(stage):
    copy = stage.store.copy()
    path = publish_route(stage, 2)
    seconds_until_served(stage.caller, path)
    stage.store.restore(copy)
    end = time.monotonic() + BOUND_SECONDS
    while time.monotonic() < end:
        assert status_of(ask(stage.caller, request(path))) == 200


def drain(stage):
    stage.list_searcher('single.near', 'single', state='draining')


def remove(stage):
    stage.store.remove('servers/single.near')


@pytest.mark.parametrize('leave', [drain, remove])
def test_a_searcher_gets_no_work_after_the_store_lost_that_it_left(
    stage, leave
):
    copy = stage.store.copy()
    leave(stage)
    near = stage.searcher_by_id['single.near']

    def reaches_near():
        near.seen.clear()
        ask(stage.caller, request('/one/a'))
        return bool(near.seen)

    wait_until(lambda: not reaches_near())
    stage.store.restore(copy)
    end = time.monotonic() + BOUND_SECONDS
    while time.monotonic() < end:
        assert not reaches_near()
