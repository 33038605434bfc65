"""Counts the results of a load run.

Latency is measured from the scheduled arrival of a request, not from when it
was sent, so a stall counts for every request scheduled during it. This avoids
coordinated omission.
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
    """Number of requests and the quantiles of their latency."""

    count: int
    p50_ms: float
    p90_ms: float
    p99_ms: float
    p999_ms: float
    max_ms: float


class LoadReport(msgspec.Struct, frozen=True, kw_only=True):
    """The result of one run.

    `seconds` is the length of the run and `offered_rate` its requests per
    second. `coverage` is the share of parts that were answered, over all
    replies that state a coverage. `extra_load` is the share of attempts beyond
    the minimum needed, None if no VM reported its counters. `goodput` is
    answered requests per second. `answered_by_second` counts answers by the
    second of the run in which they arrived.
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
    """Counts of one run; safe for use from several threads."""

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
        self, arrival: Arrival, result: RequestResult, ended_at: float
    ) -> None:
        """Count one request.

        Args:
            arrival: The request.
            result: Its result.
            ended_at: When it ended, in seconds from the start of the run.
        """
        outcome, body = result.outcome, result.body
        latency = int((ended_at - arrival.at) * MICROSECONDS_PER_SECOND) + 1
        with self._lock:
            self.by_outcome[outcome] += 1
            self.by_class[outcome][arrival.class_name] += 1
            if body.reason:
                self.by_reason[body.reason] += 1
            if body.coverage is not None:
                self.parts_answered += body.coverage.answered
                self.parts_total += body.coverage.total
            if outcome in ANSWERED_OUTCOMES:
                self.by_second[int(ended_at)] += 1
                self.answered.record_value(latency)
            elif outcome is Outcome.REFUSED:
                self.refused.record_value(latency)

    def record_resend(self) -> None:
        """Count one resend of a refused request."""
        with self._lock:
            self.resent += 1

    def quantiles(self) -> tuple[Quantiles, Quantiles]:
        """Return the latency of answered and of refused requests."""
        return _quantiles(self.answered), _quantiles(self.refused)

    def count_by_class(self, outcomes: frozenset[Outcome]) -> dict[str, int]:
        """Return how many requests of each class ended in `outcomes`."""
        totals: Counter[str] = Counter()
        for outcome in outcomes:
            totals.update(self.by_class[outcome])
        return dict(totals)


def extra_load(
    before: Mapping[str, int],
    after: Mapping[str, int],
) -> float | None:
    """Return the share of attempts beyond the minimum needed.

    Args:
        before: Summed counters of the VMs at the start of the run.
        after: The same counters at its end.

    Returns:
        The share, or None if no attempt was counted.
    """
    increase = Counter(after)
    increase.subtract(before)
    sent = _sum_query_counters(increase, '.attempts')
    minimum = _sum_query_counters(increase, '.least_attempts')
    return sent / minimum - 1 if minimum else None


def _sum_query_counters(counters: Mapping[str, int], suffix: str) -> int:
    return sum(
        count
        for name, count in counters.items()
        if name.startswith('query.') and name.endswith(suffix)
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
