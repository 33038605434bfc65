"""Counters and latency histograms for each service and class.

The same figures are sent to statsd and shown in the status report.
"""

import threading
from collections import Counter

import msgspec
from hdrh.histogram import HdrHistogram
from statsd import StatsClient

from basilwall.records.answer import QueryAnswer, Refusal
from basilwall.records.ids import ClassName, ServiceName
from basilwall.records.order import OrderOutcome

MAX_LATENCY_MICROSECONDS = 120_000_000
SIGNIFICANT_DIGITS = 2
MICROSECONDS_PER_SECOND = 1_000_000
#: Milliseconds in a second, and microseconds in a millisecond.
MILLISECONDS = 1000
PERCENTILES = (50, 99, 99.9)
#: Limit of histograms; further ones share the name `other`.
MAX_HISTOGRAMS = 256


class LatencyReport(msgspec.Struct, frozen=True):
    """Quantiles of one latency histogram, in milliseconds."""

    count: int
    p50_ms: float
    p99_ms: float
    p999_ms: float


class Metrics:
    """All counters and histograms of this VM."""

    def __init__(self, statsd: StatsClient | None) -> None:
        self._statsd = statsd
        self._histogram_by_name: dict[str, HdrHistogram] = {}
        self._count_by_name: Counter[str] = Counter()
        self._lock = threading.Lock()

    def observe_query(
        self,
        service: ServiceName,
        class_name: ClassName,
        seconds: float,
        outcome: QueryAnswer | Refusal,
    ) -> None:
        """Count one query by its outcome; record the latency of answers."""
        name = f'query.{service}.{class_name}'
        if isinstance(outcome, QueryAnswer):
            is_complete = outcome.coverage.is_complete
            self._record_latency(name, seconds)
            self.count(f'{name}.{"complete" if is_complete else "partial"}')
            self.count(f'{name}.attempts', outcome.attempts)
            self.count(f'{name}.least_attempts', outcome.coverage.total)
        else:
            self.count(f'{name}.refused.{outcome.reason.value}')

    def observe_order(
        self,
        service: ServiceName,
        seconds: float,
        outcome: OrderOutcome,
    ) -> None:
        """Count one order by its outcome and record its latency."""
        self._record_latency(f'order.{service}', seconds)
        self.count(f'order.{service}.{outcome.state.value}')

    def count(self, name: str, amount: int = 1) -> None:
        """Add `amount` to a counter."""
        with self._lock:
            self._count_by_name[name] += amount
        if self._statsd is not None:
            self._statsd.incr(name, amount)

    def counters(self) -> dict[str, int]:
        """Return all counters by name."""
        with self._lock:
            return dict(self._count_by_name)

    def latencies(self) -> dict[str, LatencyReport]:
        """Return the quantiles of all histograms by name."""
        with self._lock:
            return {
                name: _report(histogram)
                for name, histogram in self._histogram_by_name.items()
            }

    def _record_latency(self, name: str, seconds: float) -> None:
        with self._lock:
            histogram = self._histogram_by_name.get(name)
            if histogram is None:
                if len(self._histogram_by_name) >= MAX_HISTOGRAMS:
                    name = 'other'
                histogram = self._histogram_by_name.setdefault(
                    name,
                    _new_histogram(),
                )
            # The lowest value that the histogram can hold is 1.
            histogram.record_value(int(seconds * MICROSECONDS_PER_SECOND) + 1)
        if self._statsd is not None:
            self._statsd.timing(name, seconds * MILLISECONDS)


def _new_histogram() -> HdrHistogram:
    return HdrHistogram(1, MAX_LATENCY_MICROSECONDS, SIGNIFICANT_DIGITS)


def _report(histogram: HdrHistogram) -> LatencyReport:
    return LatencyReport(
        histogram.get_total_count(),
        *(
            histogram.get_value_at_percentile(percentile) / MILLISECONDS
            for percentile in PERCENTILES
        ),
    )
