"""A new route table is in force in its bound, whatever the store does."""

import time

import pytest

from tests.entry_stage import (
    BOUNDS,
    ROUTES,
    VALUE_BYTES,
    ask,
    other_vm,
    publish_route,
    request,
    route,
    seconds_until_served,
    split,
    staged,
    status_of,
    table,
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


#: As long as a request's head allows here.
LONG_PREFIX = f'/{"p" * 3000}/'


@pytest.mark.parametrize(
    'fields',
    [
        {'prefix': LONG_PREFIX},
        {'prefix': '/long/', 'name': 'n' * 300},
        {'prefix': '/odd/', 'type': 'unheard_of'},
    ],
)
def test_a_route_that_is_long_or_odd_keeps_no_other_route_out_of_force(
    stage, tmp_path, fields
):
    added = route('/new/', service='single')
    other = {**route('/', service='single'), **fields}
    stage.store.put('op/config', table(2, [*ROUTES, added, other]))
    assert seconds_until_served(stage.caller, '/new/a') < BOUND_SECONDS
    folder = tmp_path / 'other'
    folder.mkdir()
    with other_vm(stage, folder) as started_later:
        assert seconds_until_served(started_later.caller, '/new/a') < 1


def test_requests_of_a_long_prefix_are_served(stage):
    added = route(LONG_PREFIX, service='single')
    stage.store.put('op/config', table(2, [*ROUTES, added]))
    path = f'{LONG_PREFIX}a'
    assert seconds_until_served(stage.caller, path) < BOUND_SECONDS


def test_requests_of_an_unusable_route_are_refused_and_not_run(stage):
    odd = route('/one/odd/', service='single', type='unheard_of')
    added = route('/new/', service='single')
    stage.store.put('op/config', table(2, [*ROUTES, odd, added]))
    seconds_until_served(stage.caller, '/new/a')
    ran = len(stage.seen('single'))
    answer = ask(stage.caller, request('/one/odd/a'))
    assert status_of(answer) == 503
    assert float(split(answer)[0][b'retry-after']) > 0
    assert len(stage.seen('single')) == ran
    assert status_of(ask(stage.caller, request('/one/a'))) == 200
    assert status_of(ask(stage.caller, request('/none/a'))) == 404


def test_a_table_as_large_as_a_value_may_be_is_in_force(stage):
    added = route('/new/', service='single')
    filler = [
        route(f'/{number}/{"x" * 3000}/', service='single')
        for number in range(600)
    ]
    document = table(2, [*ROUTES, added, *filler])
    assert VALUE_BYTES * 3 / 4 < len(document) < VALUE_BYTES
    stage.store.put('op/config', document)
    assert seconds_until_served(stage.caller, '/new/a') < BOUND_SECONDS


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
