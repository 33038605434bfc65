"""The status report of a VM as tables for a terminal."""

from collections.abc import Iterable, Sequence

from rich.console import Console
from rich.table import Table

from basilwall.operators.status import StatusReport

Row = Sequence[object]


def print_status(report: StatusReport, console: Console) -> None:
    """Print a report as tables.

    Args:
        report: The status report of the VM.
        console: The console to print to.
    """
    _print(console, 'VM', ('property', 'value'), _vm_rows(report))
    _print(
        console,
        'Values in force',
        ('key', 'revision', 'refused', 'refusal reason'),
        _value_rows(report),
    )
    _print(
        console,
        'Searchers leaving',
        ('searcher', 'notice age, s'),
        [
            (address, round(age, 1))
            for address, age in report.leaving_searchers.items()
        ],
    )
    _print(
        console,
        'Quarantine',
        ('fingerprint', 'searchers lost'),
        [
            (fingerprint, ', '.join(searchers))
            for fingerprint, searchers in report.quarantine.items()
        ],
    )
    _print(
        console,
        'Latency, ms',
        ('request', 'count', 'p50', 'p99', 'p99.9'),
        [
            (
                name,
                latency.count,
                latency.p50_ms,
                latency.p99_ms,
                latency.p999_ms,
            )
            for name, latency in sorted(report.latencies.items())
        ],
    )
    _print(
        console,
        'Counters',
        ('name', 'count'),
        sorted(report.counters.items()),
    )


def extra_load(counters: dict[str, int]) -> float:
    """Return attempts beyond the necessary minimum, as a share of it."""
    sums = {
        suffix: sum(
            count for name, count in counters.items() if name.endswith(suffix)
        )
        for suffix in ('.attempts', '.least_attempts')
    }
    minimum = sums['.least_attempts']
    return sums['.attempts'] / minimum - 1 if minimum else 0


def _vm_rows(report: StatusReport) -> Iterable[Row]:
    vm, platform = report.vm, report.platform
    read = 'never' if platform.age_s is None else f'{platform.age_s:.1f} s ago'
    return [
        ('address', vm.address),
        ('zone', vm.zone),
        ('stopping', 'yes' if vm.stopping else 'no'),
        ('requests in flight', vm.in_flight),
        ('tickets', vm.tickets),
        ('live peers', ', '.join(vm.peers) or 'none'),
        ('platform read', read),
        ('platform failures in a row', platform.failures),
        ('platform is at revision', platform.revision),
        ('highest revision in force', platform.highest),
        ('extra load', f'{extra_load(report.counters):.2%}'),
    ]


def _value_rows(report: StatusReport) -> Iterable[Row]:
    return [
        (key, status.revision, status.refused_revision or '', status.refusal)
        for key, status in sorted(report.values.items())
    ]


def _print(
    console: Console,
    title: str,
    headings: Sequence[str],
    rows: Iterable[Row],
) -> None:
    table = Table(*headings, title=title, title_justify='left')
    for row in rows:
        table.add_row(*map(str, row))
    console.print(table if table.row_count else f'{title}: none')
