"""Choice of a replica by what this process itself has seen of it.

All replicas are compared by the requests in flight from here times the
latency seen from here. There are few of them, and both are known without
asking; health and load endpoints lag or mislead.
"""

import math
import random
from collections.abc import Sequence
from typing import Protocol, TypeVar

from basilwall.parts.clock import Clock

#: Weight of the newest latency in the smoothed one.
SMOOTHING_FACTOR = 0.2
#: Assumed latency of a replica that has not answered yet, in seconds.
INITIAL_LATENCY_SECONDS = 0.005
#: A bad latency is half forgotten after this time without a sample, so that
#: a replica which has recovered is tried again, in seconds.
HALF_LIFE_SECONDS = 3.0
#: That time doubles with each attempt in a row that was given up, this often.
MAX_DOUBLINGS = 4
#: From this many times the lowest latency on a replica counts as slower.
SLOWER_FACTOR = 2.0
#: A replica that starts cold counts as this much slower at first.
COLD_FACTOR = 4.0
WARM_UP_SECONDS = 10.0


class LatencyEstimate:
    """The latency to expect of one replica, by what was seen of it."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._smoothed = INITIAL_LATENCY_SECONDS
        self._sampled_at = clock.monotonic()
        self._cold_since = -math.inf
        self._given_up = 0

    @property
    def seconds(self) -> float:
        """The expected latency, in seconds."""
        now = self._clock.monotonic()
        doublings = min(self._given_up, MAX_DOUBLINGS)
        half_life = HALF_LIFE_SECONDS * math.pow(2, doublings)
        faded = math.pow(2, (self._sampled_at - now) / half_life)
        return self.undecayed_seconds * faded

    @property
    def undecayed_seconds(self) -> float:
        """The latency that was seen, however long ago."""
        since = self._clock.monotonic() - self._cold_since
        warmth = min(since / WARM_UP_SECONDS, 1)
        return self._smoothed * (1 + COLD_FACTOR * (1 - warmth))

    def record_answer(self, latency: float) -> None:
        """Count an attempt that answered after `latency` seconds."""
        self._given_up = 0
        self._sample(latency)

    def record_timeout(self, elapsed: float) -> None:
        """Count an attempt that was given up after `elapsed` seconds.

        Its latency is at least that, which says nothing about a replica that
        is known to be slower.
        """
        if elapsed > self._smoothed:
            self._given_up += 1
            self._sample(elapsed)

    def start_cold(self) -> None:
        """Count the replica as one that starts anew."""
        self._cold_since = self._clock.monotonic()

    def _sample(self, latency: float) -> None:
        self._sampled_at = self._clock.monotonic()
        self._smoothed += SMOOTHING_FACTOR * (latency - self._smoothed)


class Candidate(Protocol):
    """What a replica must show to be compared."""

    @property
    def in_flight(self) -> int:
        """The requests that this process has at it."""

    @property
    def estimate(self) -> LatencyEstimate:
        """What was seen of its latency."""


CandidateT = TypeVar('CandidateT', bound=Candidate)


def choose_replica(
    candidates: Sequence[CandidateT],
    source: random.Random,
    is_extra: bool = False,
) -> CandidateT | None:
    """Return the replica with the least expected wait.

    A replica counts as slower only if it is clearly so; else the processes
    that choose would all flock to the one that was fastest by chance.

    Args:
        candidates: The replicas that may be used.
        source: The random source, which decides between equals.
        is_extra: Whether a first attempt failed or is late: then none is tried
            only because the bad that was seen of it is long ago.

    Returns:
        One of the candidates, or None if there is none.
    """
    if not candidates:
        return None
    latency_of = _seen_latency if is_extra else _latency
    alike = min(map(latency_of, candidates)) * SLOWER_FACTOR
    return min(
        source.sample(candidates, len(candidates)),
        key=lambda one: (one.in_flight + 1) * max(latency_of(one), alike),
    )


def _latency(candidate: Candidate) -> float:
    return candidate.estimate.seconds


def _seen_latency(candidate: Candidate) -> float:
    return candidate.estimate.undecayed_seconds
