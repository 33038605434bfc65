"""How far a fresh value is from the VM that reads it first.

Drawn on random partners, no process runs: a fresh value is told to every
partner at once, and who is nobody's partner asks one of its own.
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

FLEETS = (9, 100, 500, 1900)
DEAD_SHARES = (0, 0.1, 0.5)
TRIALS = 20
SEED = 11
#: One way between regions, plus the work of one exchange, in seconds.
HOP_SECONDS = 0.02 * 3 + 0.002


def run(_: Path) -> Iterable[Row]:
    """Count hops to the last VM for several fleets."""
    for fleet in FLEETS:
        for share in DEAD_SHARES:
            trials = [
                _reach(fleet, share, random.Random(SEED + trial))
                for trial in range(TRIALS)
            ]
            hops = max(hops for hops, _ in trials)
            asked = max(asked for _, asked in trials)
            wait = MAX_JITTER_FACTOR * PARTNER_COUNT / EXCHANGES_PER_SECOND
            pulls = wait if asked else 0
            yield Row(
                f'{fleet} VMs, {share:.0%} of partners dead',
                f'{hops} hops at most, {asked} VMs had to ask',
                f'{hops * HOP_SECONDS + pulls:.2f} s at most',
            )


def _reach(
    fleet: int,
    dead_share: float,
    source: random.Random,
) -> tuple[int, int]:
    """Return the hops to the last VM, and how many were told by no one."""
    width = fleet - 1 if fleet - 1 <= MAX_FULL_MESH_PEERS else PARTNER_COUNT
    told_by = [
        [
            partner
            for partner in source.sample(range(fleet), width)
            if source.random() >= dead_share
        ]
        for _ in range(fleet)
    ]
    reached, edge, hops = {0}, {0}, 0
    while edge:
        edge = {other for vm in edge for other in told_by[vm]} - reached
        reached |= edge
        hops += bool(edge)
    return hops, fleet - len(reached)
