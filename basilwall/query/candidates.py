"""Which searcher to ask alone, the same on every VM for the same content."""

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
    """One searcher of one part, with its connections."""

    part: Part
    pool: SearcherPool


def order_searchers(
    mark: Fingerprint,
    parts: Sequence[Part],
) -> Iterator[tuple[Part, SearcherAddress]]:
    """Order searchers for a content, the same way on every VM.

    Args:
        mark: The hash of the content.
        parts: The parts to choose from.

    Yields:
        One searcher of each part, from a part that the hash picks on, then
        the next replica of each. Neighbouring parts give different replicas,
        since replicas in the same place may share a zone.
    """
    number = int(mark, _HEX_BASE)
    start = number % max(len(parts), 1)
    turned = (*parts[start:], *parts[:start])
    deepest = max((len(part.searchers) for part in parts), default=0)
    for turn in range(deepest):
        for offset, part in enumerate(turned):
            count = len(part.searchers)
            if turn < count:
                place = (number // len(parts) + turn + offset) % count
                yield part, part.searchers[place]


def choose_canary_searcher(
    mark: Fingerprint,
    parts: Sequence[Part],
    pools: SearcherPools,
    struck: Collection[SearcherAddress],
    tried: Collection[SearcherAddress],
    slow_from: float,
) -> Candidate | None:
    """Return the searcher to ask next, or None if all were asked.

    Args:
        mark: The hash of the content.
        parts: The parts that may be asked.
        pools: The connections to their searchers.
        struck: Searchers lost under the content; taken if no other is left.
        tried: Searchers that this request was sent to.
        slow_from: Searchers expected to take longer than this, in seconds,
            are passed over while there is another.

    Returns:
        A searcher that is not leaving; reachable, quick ones first.
    """
    usable = (
        Candidate(part, pool)
        for part, searcher in order_searchers(mark, parts)
        if searcher not in tried
        and (pool := pools.pick(_restricted_to(part, searcher), ())) is not None
    )
    fallbacks: list[Candidate] = []
    for candidate in usable:
        is_struck = candidate.pool.address in struck
        is_slow = candidate.pool.estimate.seconds > slow_from
        if candidate.pool.is_reachable and not (is_struck or is_slow):
            return candidate
        fallbacks.append(candidate)
    unstruck = (one for one in fallbacks if one.pool.address not in struck)
    return next(chain(unstruck, fallbacks), None)


def _restricted_to(part: Part, searcher: SearcherAddress) -> Part:
    return Part(part.instance, (searcher,))
