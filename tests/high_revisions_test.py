"""A change of the store counts at any height of its counter and epoch."""

import json

import pytest

from tests.entry_stage import (
    BOUNDS,
    Stage,
    other_vm,
    publish_route,
    seconds_until_served,
    staged,
)

BOUND_SECONDS = BOUNDS['config_apply_ms'] / 1000
HIGH_NUMBERS = (10**11, 2**53, 2**63, 2**64, 10**40)
KEY_CHANGES = 5


@pytest.fixture(name='stage')
def _stage(tmp_path):
    with staged(tmp_path) as stage:
        yield stage


def write_entries(stage: Stage):
    """Write entries of searchers, so that the counter rises."""
    for number in range(KEY_CHANGES):
        entry = json.dumps({'call_seq': number}).encode()
        stage.store.put('servers/none', entry)


def test_a_new_table_is_in_force_as_the_counter_passes_any_number(stage):
    for version, number in enumerate(HIGH_NUMBERS, start=2):
        stage.store.count_on_from(number - KEY_CHANGES)
        write_entries(stage)
        path = publish_route(stage, version)
        assert seconds_until_served(stage.caller, path) < BOUND_SECONDS


@pytest.mark.parametrize('number', HIGH_NUMBERS)
def test_a_vm_that_starts_at_a_high_counter_follows_changes(
    stage, tmp_path, number
):
    stage.store.count_on_from(number)
    first_path = publish_route(stage, 2)
    seconds_until_served(stage.caller, first_path)
    folder = tmp_path / 'other'
    folder.mkdir()
    with other_vm(stage, folder) as other:
        assert seconds_until_served(other.caller, first_path) < BOUND_SECONDS
        path = publish_route(stage, 3)
        assert seconds_until_served(other.caller, path) < BOUND_SECONDS
        other.way_to_store.cut()
        path = publish_route(stage, 4)
        assert seconds_until_served(other.caller, path) < BOUND_SECONDS


@pytest.mark.parametrize('epoch', [65_535, 2**32, 10**40])
def test_a_table_after_a_return_from_a_copy_counts_in_any_epoch(stage, epoch):
    stage.store.era = epoch
    copy = stage.store.copy()
    for version in range(2, 6):
        lost = publish_route(stage, version)
    seconds_until_served(stage.caller, lost)
    stage.store.restore(copy)
    path = publish_route(stage, 6)
    assert seconds_until_served(stage.caller, path) < BOUND_SECONDS
