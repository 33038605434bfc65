"""Connection limits of searchers over all VMs, also while VMs are replaced."""

import random
from dataclasses import replace
from types import SimpleNamespace

import pytest

from basilwall.backend.pools import SearcherPools
from basilwall.parts.clock import ManualClock
from basilwall.parts.leaving_searchers import LeavingSearchers
from basilwall.settings.model import Limits
from basilwall.standin.deployment import (
    SHAPES_BY_DEPLOYMENT,
    make_catalogue,
    make_snapshot,
)

SHAPES = [shape for shapes in SHAPES_BY_DEPLOYMENT.values() for shape in shapes]


def _vm_tasks(shape):
    started_tasks = []
    clock = ManualClock()
    pools = SearcherPools(
        SimpleNamespace(start=started_tasks.append),
        clock,
        LeavingSearchers(clock),
        Limits().fleet,
        random.Random(1),
    )
    snapshots = (make_snapshot(shape, 20_000, 's1'),)
    for _ in range(3):
        pools.apply_catalogue(make_catalogue(shape, snapshots))
    return pools, started_tasks


@pytest.mark.parametrize('shape', SHAPES, ids=lambda shape: shape.name)
def test_eighteen_vms_stay_within_connection_limit(shape):
    pools, started_tasks = _vm_tasks(shape)
    searchers = shape.instances * shape.searchers
    assert len(pools.by_address) == searchers
    assert 18 * len(started_tasks) <= searchers * shape.connections
    for pool in pools.by_address.values():
        assert pool.connections >= 1
        assert 18 * pool.connections <= shape.connections


def test_pick_skips_tried_searchers():
    pools, _ = _vm_tasks(SHAPES[0])
    part = make_snapshot(SHAPES[0], 20_000, 's1').parts[0]
    tried = []
    for _ in part.searchers:
        tried.append(pools.pick(part, tried).address)
    assert sorted(tried) == sorted(part.searchers)
    assert pools.pick(part, tried) is None


def test_pools_are_replaced_when_connection_limit_changes():
    pools, _ = _vm_tasks(SHAPES[0])
    snapshots = (make_snapshot(SHAPES[0], 20_000, 's1'),)
    for share in (3, 1, 1):
        shape = replace(SHAPES[0], connections=share * Limits().fleet)
        former = set(pools.by_address.values())
        pools.apply_catalogue(make_catalogue(shape, snapshots))
        held = set(pools.by_address.values())
        assert {pool.connections for pool in held} == {share}
        unchanged = {pool.connections for pool in former} == {share}
        assert (held == former) == unchanged
