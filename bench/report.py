"""Output of measured figures, with ratios to a baseline of the same run."""

import os
from collections.abc import Iterable
from dataclasses import dataclass


@dataclass(frozen=True)
class Row:
    """One line of the output: a figure and its ratio to the baseline."""

    name: str
    figure: str
    ratio: str = ''


def print_scenario(title: str, rows: Iterable[Row]) -> None:
    """Print the rows of a scenario under its title and the load average."""
    load = os.getloadavg()[0]
    print(f'\n## {title} (load average {load:.1f})', flush=True)
    for row in rows:
        print(f'{row.name:<44}{row.figure:<62}{row.ratio}', flush=True)


def quantile(times: list[float], share: float) -> float:
    """Return a quantile of a list of times.

    Args:
        times: The times, in any unit and order.
        share: The quantile, from 0 to 1.
    """
    ordered = sorted(times)
    return ordered[min(int(len(ordered) * share), len(ordered) - 1)]
