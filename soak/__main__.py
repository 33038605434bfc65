"""`python -m soak`: plays seeds, several at once, and prints a report."""

import subprocess
import sys
import time
from concurrent.futures import ThreadPoolExecutor
from typing import Annotated

import typer

from soak.run import DEFAULT_VM_COUNT, run_seed

MAX_SHOWN = 5


def main(
    seeds: Annotated[int, typer.Option(help='How many seeds.')] = 4,
    first: Annotated[
        int | None,
        typer.Option(help='The first seed; by default a fresh one.'),
    ] = None,
    seconds: Annotated[float, typer.Option(help='Length of a seed.')] = 10,
    vms: Annotated[int, typer.Option(help='VMs of a seed.')] = DEFAULT_VM_COUNT,
    at_once: Annotated[int, typer.Option(help='Seeds played at once.')] = 1,
) -> None:
    """Play seeds and print what was broken; exit 1 if anything was."""
    first = int(time.time()) if first is None else first
    numbers = range(first, first + seeds)
    if at_once > 1:
        raise typer.Exit(_run_in_processes(numbers, seconds, vms, at_once))
    failed = [
        number for number in numbers if not _run_and_print(number, seconds, vms)
    ]
    raise typer.Exit(1 if failed else 0)


def _run_and_print(seed, seconds, vms):
    report = run_seed(seed, seconds, vms)
    verdict = 'broken' if report.violations else 'good'
    print(
        f'seed {seed}: {verdict}, {report.served} of {report.requests} served,'
        f' {len(report.events)} events',
    )
    if report.violations:
        for one in report.violations[:MAX_SHOWN]:
            print(f'  {one}')
        for event in report.events:
            print(f'    {event.at:6.2f} {event.description}')
        print(f'  logs: {report.folder}', flush=True)
    return not report.violations


def _run_in_processes(numbers, seconds, vms, at_once):
    """Play each seed in a process of its own; returns the exit status."""

    def one(number):
        command = [
            sys.executable,
            '-m',
            'soak',
            '--seeds=1',
            f'--first={number}',
            f'--seconds={seconds}',
            f'--vms={vms}',
        ]
        done = subprocess.run(command, capture_output=True, text=True)
        print(done.stdout + done.stderr, end='', flush=True)
        return done.returncode

    with ThreadPoolExecutor(at_once) as pool:
        return max(pool.map(one, numbers))


if __name__ == '__main__':
    typer.run(main)
