"""What control costs a VM while nothing is asked of it.

The processes are real; what they do is to watch the platform, exchange with
each other, look after connections, and beat.
"""

import time
from collections.abc import Iterable
from functools import partial
from pathlib import Path

from bench.data_path import processor_seconds
from bench.report import Row
from tests.processes import Deployment, deployment, wait_until

FLEETS = (1, 2, 5, 9)
SECONDS = 15
PAGE_BYTES = 4096


def run(folder: Path) -> Iterable[Row]:
    """Measure fleets of several sizes."""
    for fleet in FLEETS:
        with deployment('qasr-al-jamr', folder, vms=fleet) as made:
            wait_until(partial(_all_met, made))
            pids = [vm.process.pid for vm in made.vms]
            before = [processor_seconds(pid) for pid in pids]
            time.sleep(SECONDS)
            spent = [
                (processor_seconds(pid) - former) / SECONDS
                for pid, former in zip(pids, before, strict=True)
            ]
            resident = [_resident(pid) for pid in pids]
        yield Row(
            f'{fleet} idle VMs, {SECONDS} s',
            f'{sum(spent) / fleet:.2%} of a core a VM, most {max(spent):.2%}',
            f'{max(resident) / 2**20:.0f} MB resident at most',
        )


def _all_met(made: Deployment) -> bool:
    others = len(made.vms) - 1
    met = [len(vm.status()['vm']['peers']) for vm in made.vms]
    return met == [others] * len(made.vms)


def _resident(pid: int) -> int:
    pages = Path(f'/proc/{pid}/statm').read_text().split()[1]
    return int(pages) * PAGE_BYTES
