"""Formats a load report as a text table, and plots its latency."""

from collections.abc import Iterator
from pathlib import Path

from hdrh.histogram import HdrHistogram

from basilwall.load.tally import LoadReport, Quantiles

PLOT_PERCENTILES = (0, 10, 25, 50, 75, 90, 95, 99, 99.5, 99.9, 99.99)
MICROSECONDS_PER_MS = 1000
PERCENT_FACTOR = 100


class PlotError(Exception):
    """The packages for plots are not installed."""


def format_table(report: LoadReport) -> str:
    """Return a report as text, one line for each figure with its name."""
    return '\n'.join(f'{name:<22}{text}' for name, text in _rows(report))


def save_plot(histogram: HdrHistogram, path: Path) -> None:
    """Write a plot of latency by percentile to a file.

    Args:
        histogram: Latency of the answered requests, in microseconds.
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
        [str(percentile) for percentile in PLOT_PERCENTILES],
        [
            histogram.get_value_at_percentile(percentile) / MICROSECONDS_PER_MS
            for percentile in PLOT_PERCENTILES
        ],
    )
    axes.set(xlabel='percentile', ylabel='latency, ms')
    figure.savefig(path)


def _rows(report: LoadReport) -> Iterator[tuple[str, str]]:
    yield 'seed', str(report.seed)
    yield 'offered', f'{report.offered_rate:.1f}/s for {report.seconds:.1f} s'
    yield 'requests', f'{report.requests}, sent again {report.resent}'
    for kind, counts in (
        ('outcome', report.by_outcome),
        ('reason', report.by_reason),
        ('answered in', report.answered_by_class),
        ('refused in', report.refused_by_class),
    ):
        for name, count in sorted(counts.items()):
            yield f'{kind} {name}', str(count)
    yield 'goodput', f'{report.goodput:.1f}/s'
    yield 'answers', _format_quantiles(report.answered)
    yield 'refusals', _format_quantiles(report.refused)
    yield 'coverage', f'{report.coverage * PERCENT_FACTOR:.3f}%'
    if report.extra_load is not None:
        yield 'extra load', f'{report.extra_load * PERCENT_FACTOR:.2f}%'


def _format_quantiles(quantiles: Quantiles) -> str:
    return (
        f'{quantiles.count}, ms p50 {quantiles.p50_ms:.2f}'
        f' p90 {quantiles.p90_ms:.2f} p99 {quantiles.p99_ms:.2f}'
        f' p99.9 {quantiles.p999_ms:.2f} max {quantiles.max_ms:.2f}'
    )
