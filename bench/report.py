"""Rows of figures, each with its ratio to a baseline of the same run."""

import os
from collections.abc import Iterable
from dataclasses import dataclass


@dataclass(frozen=True)
class Row:
    """One figure and what it is set against."""

    name: str
    figure: str
    ratio: str = ''


def print_scenario(title: str, rows: Iterable[Row]) -> None:
    """Print a scenario."""
    load = os.getloadavg()[0]
    print(f'\n## {title} (load average {load:.1f})', flush=True)
    for row in rows:
        print(f'{row.name:<44}{row.figure:<62}{row.ratio}', flush=True)


def quantile(times: list[float], share: float) -> float:
    """Return a quantile of a list."""
    ordered = sorted(times)
    return ordered[min(int(len(ordered) * share), len(ordered) - 1)]
