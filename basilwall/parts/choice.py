"""Choice of a replica by what this process itself has seen of it.

Two candidates drawn at random are compared by their own load: requests in
flight first, then smoothed latency. Health and load endpoints are not asked,
since they lag or mislead.
"""

import random
from collections.abc import Sequence
from typing import Protocol, TypeVar


class Candidate(Protocol):
    """What a replica must show to be compared."""

    @property
    def cost(self) -> float:
        """The expected wait for one more request; smaller is better."""


CandidateT = TypeVar('CandidateT', bound=Candidate)


def choose(
    candidates: Sequence[CandidateT],
    source: random.Random,
) -> CandidateT | None:
    """Return the better of two candidates drawn at random.

    Args:
        candidates: The replicas that may be used.
        source: The random source.

    Returns:
        One of the candidates, or None if there is none.
    """
    if not candidates:
        return None
    if len(candidates) == 1:
        return candidates[0]
    first, second = source.sample(candidates, 2)
    return first if first.cost <= second.cost else second
