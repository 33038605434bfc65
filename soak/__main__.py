"""`python -m soak`: runs the soak test for several seeds, prints a report."""

import subprocess
import sys
import time
from concurrent.futures import ThreadPoolExecutor
from typing import Annotated

import typer

from soak.run import DEFAULT_VM_COUNT, run_seed

MAX_SHOWN_VIOLATIONS = 5


def main(
    seeds: Annotated[int, typer.Option(help='Number of seeds.')] = 4,
    first: Annotated[
        int | None,
        typer.Option(help='First seed; default: the current time.'),
    ] = None,
    seconds: Annotated[float, typer.Option(help='Duration of each seed.')] = 10,
    vms: Annotated[int, typer.Option(help='Number of VMs.')] = DEFAULT_VM_COUNT,
    at_once: Annotated[int, typer.Option(help='Seeds run in parallel.')] = 1,
) -> None:
    """Run seeds and print the violations; exit 1 if there are any."""
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
    verdict = 'failed' if report.violations else 'passed'
    print(
        f'seed {seed}: {verdict}, {report.served} of {report.requests} served,'
        f' {len(report.events)} events',
    )
    if report.violations:
        for violation in report.violations[:MAX_SHOWN_VIOLATIONS]:
            print(f'  {violation}')
        for event in report.events:
            print(f'    {event.at:6.2f} {event.description}')
        print(f'  logs: {report.folder}', flush=True)
    return not report.violations


def _run_in_processes(numbers, seconds, vms, at_once):
    """Run each seed in its own process and return the exit status."""

    def run_seed_process(number):
        command = [
            sys.executable,
            '-m',
            'soak',
            '--seeds=1',
            f'--first={number}',
            f'--seconds={seconds}',
            f'--vms={vms}',
        ]
        process = subprocess.run(command, capture_output=True, text=True)
        print(process.stdout + process.stderr, end='', flush=True)
        return process.returncode

    with ThreadPoolExecutor(at_once) as pool:
        return max(pool.map(run_seed_process, numbers))


if __name__ == '__main__':
    typer.run(main)
