"""What the callers of a simulated deployment got."""

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
    """The requests of one kind; `worth` and `coverage` are from 0 to 1."""

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
    """One run; `worth` is earned by owed, `extra_load` attempts per needed."""

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
    """Counts what became of each request."""

    def __init__(self) -> None:
        self._by_kind: defaultdict[str, _Counts] = defaultdict(_Counts)
        self._by_second: defaultdict[int, _Counts] = defaultdict(_Counts)
        self._sent = 0

    def record(
        self,
        kind: RequestKind,
        began_at: float,
        seconds: float,
        answer: Answer,
        shards: int,
    ) -> None:
        """Count one request.

        Args:
            kind: What it asked for.
            began_at: When its caller first asked, in seconds.
            seconds: How long it took, with its resend.
            answer: The last answer.
            shards: How many shards the deployment has.
        """
        share = 1 - answer.missing_shards / shards
        earned = share**2 * _earned_worth(kind, seconds, answer)
        for counts in (
            self._by_kind[kind.name],
            self._by_second[int(began_at)],
        ):
            counts.asked += 1
            counts.possible += kind.worth
            counts.earned += earned
            _count_outcome(counts, kind, seconds, answer)
            if answer.status == HTTP_OK:
                counts.coverage += share
                counts.latencies.append(seconds)

    def build_report(self, scenario: Scenario, attempts: int) -> Report:
        """Return the report of a run in which so many attempts were made."""
        all_counts = list(self._by_kind.values())
        asked = sum(one.asked for one in all_counts)
        owed = sum(one.possible for one in all_counts)
        needed = max(asked * scenario.model.shard_count, 1)
        by_second = {
            second: counts.worth()
            for second, counts in sorted(self._by_second.items())
        }
        return Report(
            scenario.seed,
            sum(one.earned for one in all_counts) / (owed or 1),
            min(by_second.values(), default=1),
            attempts / needed - 1,
            {name: _kind_report(one) for name, one in self._by_kind.items()},
            by_second,
        )


def format_table(report: Report) -> str:
    """Return a report as lines of a name and a figure."""
    return '\n'.join(f'{name:<22}{shown}' for name, shown in _rows(report))


def save_plot(report: Report, path: Path) -> None:
    """Draw the worth earned in each second into a file.

    Args:
        report: The run.
        path: The file; its ending says the format.

    Raises:
        PlotError: If the extra `plot` is not installed.
    """
    try:
        from matplotlib.figure import Figure
    except ImportError as error:
        raise PlotError("install the extra 'plot' to draw") from error
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
    for name, one in report.by_kind.items():
        yield (
            name,
            f'{one.asked} asked, {one.in_time} in time, {one.late} late,'
            f' {one.refused} refused, {one.failed} failed;'
            f' worth {one.worth:.3f}, coverage {one.coverage:.4f},'
            f' ms p50 {one.p50_ms:.0f} p99 {one.p99_ms:.0f}',
        )
