"""Simulated time until a new value has reached every entry VM by gossip.

Every VM has random partners, and no process is started. A VM sends a new
value to all of its partners at once. A VM that no one sends the value gets it
by its next exchange with one of its own partners.
"""

import random
from collections.abc import Iterable
from pathlib import Path

from basilwall.peer.links import (
    EXCHANGES_PER_SECOND,
    MAX_FULL_MESH_PEERS,
    MAX_JITTER_FACTOR,
    PARTNER_COUNT,
)
from bench.report import Row

FLEET_SIZES = (9, 100, 500, 1900)
DEAD_SHARES = (0, 0.1, 0.5)
TRIALS = 20
SEED = 11
#: Time of one hop: the one-way delay between regions (20 ms, times 3), plus
#: 2 ms of work for one exchange.
HOP_SECONDS = 0.02 * 3 + 0.002


def run(_: Path) -> Iterable[Row]:
    """Count hops until the last VM, by fleet size and dead partners."""
    for fleet in FLEET_SIZES:
        for dead_share in DEAD_SHARES:
            trials = [
                _simulate_spread(fleet, dead_share, random.Random(SEED + trial))
                for trial in range(TRIALS)
            ]
            hops = max(hops for hops, _ in trials)
            pulling_vms = max(pulling_vms for _, pulling_vms in trials)
            longest_interval = (
                MAX_JITTER_FACTOR * PARTNER_COUNT / EXCHANGES_PER_SECOND
            )
            pull_seconds = longest_interval if pulling_vms else 0
            yield Row(
                f'{fleet} VMs, {dead_share:.0%} of partners dead',
                f'{hops} hops at most, {pulling_vms} VMs had to ask',
                f'{hops * HOP_SECONDS + pull_seconds:.2f} s at most',
            )


def _simulate_spread(
    fleet: int,
    dead_share: float,
    rng: random.Random,
) -> tuple[int, int]:
    """Return the hops to the last VM reached and the number not reached."""
    partner_count = (
        fleet - 1 if fleet - 1 <= MAX_FULL_MESH_PEERS else PARTNER_COUNT
    )
    partners_by_vm = [
        [
            partner
            for partner in rng.sample(range(fleet), partner_count)
            if rng.random() >= dead_share
        ]
        for _ in range(fleet)
    ]
    reached, frontier, hops = {0}, {0}, 0
    while frontier:
        frontier = {
            other for vm in frontier for other in partners_by_vm[vm]
        } - reached
        reached |= frontier
        hops += bool(frontier)
    return hops, fleet - len(reached)
