"""Ways from 1,900 nodes to 8,800 searchers, counted on random placements.

No process runs here: the placement is drawn and the cover of a query is
found by always taking the relay that holds most of the parts still open.
"""

import random
from collections.abc import Iterable
from pathlib import Path

from bench.report import Row

NODES = 1900
SEARCHERS = 8800
PARTS = 1400
QUERIES_PER_SECOND = 310_000
ZONES = 15
SEED = 7
TRIALS = 3


def run(_: Path) -> Iterable[Row]:
    """Count relays a query for several widths and placements."""
    for relays in (5, 10, 20, 40):
        held = SEARCHERS * relays / NODES
        for name, place in (
            ('random', _place_at_random),
            ('aligned', _place_aligned),
        ):
            counts = [
                _count_covering_relays(
                    place(relays, random.Random(SEED + trial))
                )
                for trial in range(TRIALS)
            ]
            count = sum(counts) / TRIALS
            messages = QUERIES_PER_SECOND * count / NODES
            yield Row(
                f'{relays} relays a searcher, {name}',
                f'{held:.0f} searchers a relay, {count:.0f} relays a query',
                f'{messages:,.0f} relay messages a node and second',
            )


def _place_at_random(relays: int, rng: random.Random) -> list[set[int]]:
    """Each searcher goes to relays drawn at random."""
    parts_by_relay: list[set[int]] = [set() for _ in range(NODES)]
    for searcher in range(SEARCHERS):
        for relay in rng.sample(range(NODES), relays):
            parts_by_relay[relay].add(searcher % PARTS)
    return parts_by_relay


def _place_aligned(relays: int, rng: random.Random) -> list[set[int]]:
    """Searchers of neighbouring parts share their relays."""
    parts_by_relay: list[set[int]] = [set() for _ in range(NODES)]
    held = -(-SEARCHERS * relays // NODES)
    for relay in range(NODES):
        first = rng.randrange(0, PARTS, held) if held < PARTS else 0
        parts_by_relay[relay] = {
            (first + step) % PARTS for step in range(min(held, PARTS))
        }
    return parts_by_relay


def _count_covering_relays(parts_by_relay: list[set[int]]) -> int:
    open_parts = set(range(PARTS))
    count = 0
    while open_parts:
        best = max(parts_by_relay, key=lambda parts: len(parts & open_parts))
        if not best & open_parts:
            return count + len(open_parts)
        open_parts -= best
        count += 1
    return count
