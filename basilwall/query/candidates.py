"""Chooses the searcher of a canary request from a hash of its content.

The choice is the same on every VM for the same content.
"""

from collections.abc import Collection, Iterator, Sequence
from dataclasses import dataclass
from itertools import chain

from basilwall.backend.pool import SearcherPool
from basilwall.backend.pools import SearcherPools
from basilwall.records.catalogue import Part
from basilwall.records.ids import Fingerprint, SearcherAddress

_HEX_BASE = 16


@dataclass(frozen=True, slots=True)
class Candidate:
    """One searcher of one part, with its connection pool."""

    part: Part
    pool: SearcherPool


def order_searchers(
    fingerprint: Fingerprint,
    parts: Sequence[Part],
) -> Iterator[tuple[Part, SearcherAddress]]:
    """Order searchers for request content, the same way on every VM.

    Args:
        fingerprint: The hash of the content.
        parts: The parts to choose from.

    Yields:
        One searcher of each part, starting at the part that the hash selects,
        then the next replica of each part. Adjacent parts yield replicas of
        different index, because replicas of one index may share a zone.
    """
    hash_number = int(fingerprint, _HEX_BASE)
    first = hash_number % max(len(parts), 1)
    rotated = (*parts[first:], *parts[:first])
    max_replicas = max((len(part.searchers) for part in parts), default=0)
    for round_number in range(max_replicas):
        for offset, part in enumerate(rotated):
            count = len(part.searchers)
            if round_number < count:
                index = (
                    hash_number // len(parts) + round_number + offset
                ) % count
                yield part, part.searchers[index]


def choose_canary_searcher(
    fingerprint: Fingerprint,
    parts: Sequence[Part],
    pools: SearcherPools,
    struck: Collection[SearcherAddress],
    tried: Collection[SearcherAddress],
    slow_above_seconds: float,
) -> Candidate | None:
    """Choose the searcher of the next canary request.

    Args:
        fingerprint: The hash of the content.
        parts: The parts that may be used.
        pools: The connection pools of their searchers.
        struck: Searchers with a strike under the content, used only if no
            other searcher is left.
        tried: Searchers to exclude.
        slow_above_seconds: Searchers with a higher expected latency are used
            only if no faster one is left.

    Returns:
        A searcher that is not leaving, or None if there is none. Reachable
        and fast searchers come first.
    """
    usable = (
        Candidate(part, pool)
        for part, searcher in order_searchers(fingerprint, parts)
        if searcher not in tried
        and (pool := pools.pick(_restricted_to(part, searcher), ())) is not None
    )
    fallbacks: list[Candidate] = []
    for candidate in usable:
        is_struck = candidate.pool.address in struck
        is_slow = candidate.pool.estimate.seconds > slow_above_seconds
        if candidate.pool.is_reachable and not (is_struck or is_slow):
            return candidate
        fallbacks.append(candidate)
    unstruck = (
        fallback
        for fallback in fallbacks
        if fallback.pool.address not in struck
    )
    return next(chain(unstruck, fallbacks), None)


def _restricted_to(part: Part, searcher: SearcherAddress) -> Part:
    return Part(part.instance, (searcher,))
