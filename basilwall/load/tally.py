"""Counts what a load run saw.

Latency runs from the time at which a request was meant to be sent, so a
stall counts for every request that should have gone out meanwhile
(coordinated omission).
"""

import threading
from collections import Counter
from collections.abc import Mapping

import msgspec
from hdrh.histogram import HdrHistogram

from basilwall.load.client import Outcome, RequestResult
from basilwall.load.plan import Arrival

MAX_LATENCY_MICROSECONDS = 600_000_000
SIGNIFICANT_DIGITS = 3
MICROSECONDS_PER_SECOND = 1_000_000
MICROSECONDS_PER_MS = 1000
ANSWERED_OUTCOMES = frozenset((Outcome.COMPLETE, Outcome.PARTIAL))
PERCENTILES = (50.0, 90.0, 99.0, 99.9, 100.0)


class Quantiles(msgspec.Struct, frozen=True):
    """Latency in milliseconds."""

    count: int
    p50_ms: float
    p90_ms: float
    p99_ms: float
    p999_ms: float
    max_ms: float


class LoadReport(msgspec.Struct, frozen=True, kw_only=True):
    """The result of one run.

    `coverage` is the share of all parts that were answered in full, over
    every request that was admitted. `extra_load` is the attempts beyond the
    least needed as a share of these, None if no VM told its counters.
    `answered_by_second` counts answers by the second in which they came.
    """

    seed: int
    offered_rate: float
    seconds: float
    requests: int
    resent: int
    by_outcome: dict[str, int]
    by_reason: dict[str, int]
    answered_by_class: dict[str, int]
    refused_by_class: dict[str, int]
    answered: Quantiles
    refused: Quantiles
    goodput: float
    coverage: float
    extra_load: float | None
    answered_by_second: tuple[int, ...]


class Tally:
    """Counts of one run; may be used from many threads."""

    def __init__(self) -> None:
        self.answered = _new_histogram()
        self.refused = _new_histogram()
        self.by_outcome: Counter[Outcome] = Counter()
        self.by_reason: Counter[str] = Counter()
        self.by_class: dict[Outcome, Counter[str]] = {
            outcome: Counter() for outcome in Outcome
        }
        self.by_second: Counter[int] = Counter()
        self.parts_answered = 0
        self.parts_total = 0
        self.resent = 0
        self._lock = threading.Lock()

    def record(
        self, arrival: Arrival, exchange: RequestResult, ended: float
    ) -> None:
        """Count one request.

        Args:
            arrival: The request.
            exchange: What came of it.
            ended: When, in seconds from the start of the run.
        """
        outcome, seen = exchange.outcome, exchange.body
        latency = int((ended - arrival.at) * MICROSECONDS_PER_SECOND) + 1
        with self._lock:
            self.by_outcome[outcome] += 1
            self.by_class[outcome][arrival.class_name] += 1
            if seen.reason:
                self.by_reason[seen.reason] += 1
            if seen.coverage is not None:
                self.parts_answered += seen.coverage.answered
                self.parts_total += seen.coverage.total
            if outcome in ANSWERED_OUTCOMES:
                self.by_second[int(ended)] += 1
                self.answered.record_value(latency)
            elif outcome is Outcome.REFUSED:
                self.refused.record_value(latency)

    def record_resend(self) -> None:
        """Count one request that was sent again."""
        with self._lock:
            self.resent += 1

    def quantiles(self) -> tuple[Quantiles, Quantiles]:
        """Return the latency of answers and of refusals."""
        return _quantiles(self.answered), _quantiles(self.refused)

    def count_by_class(self, outcomes: frozenset[Outcome]) -> dict[str, int]:
        """Return how many requests of each class ended in `outcomes`."""
        added: Counter[str] = Counter()
        for outcome in outcomes:
            added.update(self.by_class[outcome])
        return dict(added)


def extra_load(
    before: Mapping[str, int],
    after: Mapping[str, int],
) -> float | None:
    """Return the share of attempts beyond the least needed.

    Args:
        before: The counters of all VMs when the run began.
        after: The same counters at its end.

    Returns:
        The share, or None if nothing was attempted.
    """
    grown = Counter(after)
    grown.subtract(before)
    sent = _sum_query_counters(grown, '.attempts')
    least = _sum_query_counters(grown, '.least_attempts')
    return sent / least - 1 if least else None


def _sum_query_counters(counters: Mapping[str, int], ending: str) -> int:
    return sum(
        count
        for name, count in counters.items()
        if name.startswith('query.') and name.endswith(ending)
    )


def _new_histogram() -> HdrHistogram:
    return HdrHistogram(1, MAX_LATENCY_MICROSECONDS, SIGNIFICANT_DIGITS)


def _quantiles(histogram: HdrHistogram) -> Quantiles:
    return Quantiles(
        histogram.get_total_count(),
        *(
            histogram.get_value_at_percentile(percentile) / MICROSECONDS_PER_MS
            for percentile in PERCENTILES
        ),
    )
