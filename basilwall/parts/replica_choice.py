"""Choice of a replica by locally observed latency and requests in flight.

All replicas of a part are compared by their requests in flight from this
process times their latency as this process observed it. There are few
replicas, and both figures are known without a call; health and load endpoints
lag or are wrong.
"""

import math
import random
from collections.abc import Sequence
from typing import Protocol, TypeVar

from basilwall.parts.clock import Clock

#: Weight of the newest sample in the exponentially smoothed latency.
SMOOTHING_FACTOR = 0.2
#: Assumed latency of a replica that has not answered yet.
INITIAL_LATENCY_SECONDS = 0.005
#: The estimate halves after this time without a sample, so that a replica
#: that has recovered is tried again.
HALF_LIFE_SECONDS = 3.0
#: The half-life doubles with each consecutive timeout, at most this often.
MAX_DOUBLINGS = 4
#: Replicas up to this many times slower than the fastest count as equal.
SLOWER_FACTOR = 2.0
#: Multiple of its latency that is added to the estimate of a replica that has
#: just started; it declines to 0 over `WARM_UP_SECONDS`.
COLD_FACTOR = 4.0
WARM_UP_SECONDS = 10.0


class LatencyEstimate:
    """Expected latency of one replica, from the latencies observed."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._smoothed = INITIAL_LATENCY_SECONDS
        self._sampled_at = clock.monotonic()
        self._cold_since = -math.inf
        self._consecutive_timeouts = 0

    @property
    def seconds(self) -> float:
        """The expected latency in seconds, decayed since the last sample."""
        now = self._clock.monotonic()
        doublings = min(self._consecutive_timeouts, MAX_DOUBLINGS)
        half_life = HALF_LIFE_SECONDS * math.pow(2, doublings)
        decay = math.pow(2, (self._sampled_at - now) / half_life)
        return self.undecayed_seconds * decay

    @property
    def undecayed_seconds(self) -> float:
        """The smoothed latency in seconds, without decay."""
        warm_seconds = self._clock.monotonic() - self._cold_since
        warmth = min(warm_seconds / WARM_UP_SECONDS, 1)
        return self._smoothed * (1 + COLD_FACTOR * (1 - warmth))

    def record_answer(self, latency: float) -> None:
        """Add the latency, in seconds, of an attempt that was answered."""
        self._consecutive_timeouts = 0
        self._sample(latency)

    def record_timeout(self, elapsed: float) -> None:
        """Add an attempt that was abandoned after `elapsed` seconds.

        Its latency is at least `elapsed`, which tells nothing new about a
        replica whose smoothed latency is higher.
        """
        if elapsed > self._smoothed:
            self._consecutive_timeouts += 1
            self._sample(elapsed)

    def start_cold(self) -> None:
        """Note that the process of the replica has just started."""
        self._cold_since = self._clock.monotonic()

    def _sample(self, latency: float) -> None:
        self._sampled_at = self._clock.monotonic()
        self._smoothed += SMOOTHING_FACTOR * (latency - self._smoothed)


class Candidate(Protocol):
    """A replica that can be compared with others."""

    @property
    def in_flight(self) -> int:
        """The requests in flight from this process."""

    @property
    def estimate(self) -> LatencyEstimate:
        """The estimate of its latency."""


CandidateT = TypeVar('CandidateT', bound=Candidate)


def choose_replica(
    candidates: Sequence[CandidateT],
    rng: random.Random,
    is_extra: bool = False,
) -> CandidateT | None:
    """Return the replica with the least expected wait.

    Replicas within `SLOWER_FACTOR` of the fastest count as equally fast.
    Otherwise all processes would send to the replica that was fastest by
    chance.

    Args:
        candidates: The replicas that may be used.
        rng: The random generator that decides between equal replicas.
        is_extra: Whether the attempt is a retry or a hedge. Latencies are
            then compared without decay, so that a replica isn't tried only
            because its slow samples are old.

    Returns:
        One of the candidates, or None if there is none.
    """
    if not candidates:
        return None
    get_latency = _undecayed_latency if is_extra else _latency
    latency_floor = min(map(get_latency, candidates)) * SLOWER_FACTOR
    return min(
        rng.sample(candidates, len(candidates)),
        key=lambda candidate: (
            (candidate.in_flight + 1)
            * max(get_latency(candidate), latency_floor)
        ),
    )


def _latency(candidate: Candidate) -> float:
    return candidate.estimate.seconds


def _undecayed_latency(candidate: Candidate) -> float:
    return candidate.estimate.undecayed_seconds
