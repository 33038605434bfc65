"""Results of a simulation as its callers saw them."""

from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path

import msgspec

from basilwall.load.report_output import PlotError
from basilwall.records.forwarding import Answer
from basilwall.simulation.scenarios import RequestKind, Scenario

HTTP_OK = 200
HTTP_UNAVAILABLE = 503
MS_PER_SECOND = 1000
MEDIAN_QUANTILE = 0.5
TAIL_QUANTILE = 0.99


class KindReport(msgspec.Struct, frozen=True):
    """Results of the requests of one kind.

    `in_time` counts answers within the target latency, `late` those after it.
    `worth` is the worth earned as a share of that of all requests in time and
    with all shards. `coverage` is the mean share of shards in the answers. Both
    are from 0 to 1.
    Latencies are those of answered requests, resends included.
    """

    asked: int
    in_time: int
    late: int
    refused: int
    failed: int
    worth: float
    coverage: float
    p50_ms: float
    p99_ms: float


class Report(msgspec.Struct, frozen=True):
    """Results of one run.

    `worth` is the worth earned as a share of the possible worth, from 0 to 1,
    and `worst_second` the lowest value of `worth_by_second`. A request counts
    in the second in which it was first sent. `extra_load` is the attempts
    beyond one for each shard of each request, as a share of the latter.
    """

    seed: int
    worth: float
    worst_second: float
    extra_load: float
    by_kind: dict[str, KindReport]
    worth_by_second: dict[int, float]


@dataclass(slots=True)
class _Counts:
    asked: int = 0
    in_time: int = 0
    late: int = 0
    refused: int = 0
    failed: int = 0
    earned: float = 0
    possible: float = 0
    coverage: float = 0
    latencies: list[float] = field(default_factory=list)

    def worth(self) -> float:
        return self.earned / self.possible if self.possible else 1


class Tally:
    """Counts the results of requests."""

    def __init__(self) -> None:
        self._by_kind: defaultdict[str, _Counts] = defaultdict(_Counts)
        self._by_second: defaultdict[int, _Counts] = defaultdict(_Counts)
        self._sent = 0

    def record(
        self,
        kind: RequestKind,
        started_at: float,
        seconds: float,
        answer: Answer,
        shards: int,
    ) -> None:
        """Count one request.

        Args:
            kind: Its kind.
            started_at: When its caller first sent it, in virtual seconds.
            seconds: Its latency, resends included.
            answer: The answer to the last send.
            shards: How many shards the deployment has.
        """
        share = 1 - answer.missing_shards / shards
        earned = share**2 * _earned_worth(kind, seconds, answer)
        for counts in (
            self._by_kind[kind.name],
            self._by_second[int(started_at)],
        ):
            counts.asked += 1
            counts.possible += kind.worth
            counts.earned += earned
            _count_outcome(counts, kind, seconds, answer)
            if answer.status == HTTP_OK:
                counts.coverage += share
                counts.latencies.append(seconds)

    def build_report(self, scenario: Scenario, attempts: int) -> Report:
        """Build the report of a run.

        Args:
            scenario: The scenario that was simulated.
            attempts: Attempts of all VMs, retries and hedges included.

        Returns:
            The report.
        """
        all_counts = list(self._by_kind.values())
        asked = sum(counts.asked for counts in all_counts)
        possible = sum(counts.possible for counts in all_counts)
        needed = max(asked * scenario.model.shard_count, 1)
        by_second = {
            second: counts.worth()
            for second, counts in sorted(self._by_second.items())
        }
        return Report(
            scenario.seed,
            sum(counts.earned for counts in all_counts) / (possible or 1),
            min(by_second.values(), default=1),
            attempts / needed - 1,
            {
                name: _kind_report(counts)
                for name, counts in self._by_kind.items()
            },
            by_second,
        )


def format_table(report: Report) -> str:
    """Return a report as text, one line for each figure with its name."""
    return '\n'.join(f'{name:<22}{text}' for name, text in _rows(report))


def save_plot(report: Report, path: Path) -> None:
    """Write a plot of the worth earned in each second to a file.

    Args:
        report: The run.
        path: Output file; its suffix selects the format.

    Raises:
        PlotError: If the extra `plot` is not installed.
    """
    try:
        from matplotlib.figure import Figure
    except ImportError as error:
        raise PlotError(
            "plots need matplotlib: install the extra 'plot'"
        ) from error
    figure = Figure()
    axes = figure.add_subplot()
    axes.plot(
        list(report.worth_by_second),
        list(report.worth_by_second.values()),
    )
    axes.set(xlabel='second', ylabel='worth earned', ylim=(0, 1))
    figure.savefig(path)


def _earned_worth(kind: RequestKind, seconds: float, answer: Answer) -> float:
    if answer.status != HTTP_OK or seconds > kind.deadline:
        return 0
    return kind.worth if seconds <= kind.target_latency else kind.late_worth


def _count_outcome(
    counts: _Counts, kind: RequestKind, seconds: float, answer: Answer
) -> None:
    if answer.status == HTTP_OK and seconds <= kind.target_latency:
        counts.in_time += 1
    elif answer.status == HTTP_OK:
        counts.late += 1
    elif answer.status == HTTP_UNAVAILABLE:
        counts.refused += 1
    else:
        counts.failed += 1


def _kind_report(counts: _Counts) -> KindReport:
    ordered = sorted(counts.latencies) or [0]
    served = len(counts.latencies) or 1
    return KindReport(
        counts.asked,
        counts.in_time,
        counts.late,
        counts.refused,
        counts.failed,
        counts.worth(),
        counts.coverage / served,
        ordered[int(len(ordered) * MEDIAN_QUANTILE)] * MS_PER_SECOND,
        ordered[int(len(ordered) * TAIL_QUANTILE)] * MS_PER_SECOND,
    )


def _rows(report: Report) -> Iterator[tuple[str, str]]:
    yield 'seed', str(report.seed)
    yield 'worth', f'{report.worth:.3f}'
    yield 'worst second', f'{report.worst_second:.3f}'
    yield 'extra load', f'{report.extra_load:.3f}'
    for name, kind in report.by_kind.items():
        yield (
            name,
            f'{kind.asked} asked, {kind.in_time} in time, {kind.late} late,'
            f' {kind.refused} refused, {kind.failed} failed;'
            f' worth {kind.worth:.3f}, coverage {kind.coverage:.4f},'
            f' ms p50 {kind.p50_ms:.0f} p99 {kind.p99_ms:.0f}',
        )
