"""Relays per query between 1,900 nodes and 8,800 searchers.

A calculation on random placements that starts no process. The relays of a
query are found by greedy set cover: it always takes the relay that reaches
most of the parts not yet covered.
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
    """Count relays per query by relays per searcher and placement."""
    for relays in (5, 10, 20, 40):
        searchers_per_relay = SEARCHERS * relays / NODES
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
            mean_relays = sum(counts) / TRIALS
            messages = QUERIES_PER_SECOND * mean_relays / NODES
            yield Row(
                f'{relays} relays a searcher, {name}',
                f'{searchers_per_relay:.0f} searchers a relay,'
                f' {mean_relays:.0f} relays a query',
                f'{messages:,.0f} relay messages a node and second',
            )


def _place_at_random(relays: int, rng: random.Random) -> list[set[int]]:
    """Assign each searcher to relays chosen at random."""
    parts_by_relay: list[set[int]] = [set() for _ in range(NODES)]
    for searcher in range(SEARCHERS):
        for relay in rng.sample(range(NODES), relays):
            parts_by_relay[relay].add(searcher % PARTS)
    return parts_by_relay


def _place_aligned(relays: int, rng: random.Random) -> list[set[int]]:
    """Assign searchers of neighbouring parts to the same relays."""
    parts_by_relay: list[set[int]] = [set() for _ in range(NODES)]
    searchers_per_relay = -(-SEARCHERS * relays // NODES)
    for relay in range(NODES):
        first = (
            rng.randrange(0, PARTS, searchers_per_relay)
            if searchers_per_relay < PARTS
            else 0
        )
        parts_by_relay[relay] = {
            (first + step) % PARTS
            for step in range(min(searchers_per_relay, PARTS))
        }
    return parts_by_relay


def _count_covering_relays(parts_by_relay: list[set[int]]) -> int:
    uncovered_parts = set(range(PARTS))
    count = 0
    while uncovered_parts:
        best = max(
            parts_by_relay, key=lambda parts: len(parts & uncovered_parts)
        )
        if not best & uncovered_parts:
            return count + len(uncovered_parts)
        uncovered_parts -= best
        count += 1
    return count
