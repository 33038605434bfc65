"""Processor time and memory of entry VMs that receive no requests.

The VMs are real processes. They watch the platform, exchange gossip, maintain
their connections and check their clocks for pauses of the process.
"""

import time
from collections.abc import Iterable
from functools import partial
from pathlib import Path

from bench.data_path import read_cpu_seconds
from bench.report import Row
from tests.processes import Deployment, deployment, wait_until

FLEET_SIZES = (1, 2, 5, 9)
MEASURED_SECONDS = 15
PAGE_BYTES = 4096


def run(folder: Path) -> Iterable[Row]:
    """Measure idle fleets of several sizes."""
    for fleet in FLEET_SIZES:
        with deployment('qasr-al-jamr', folder, vms=fleet) as cluster:
            wait_until(partial(_have_all_peers, cluster))
            pids = [vm.process.pid for vm in cluster.vms]
            before = [read_cpu_seconds(pid) for pid in pids]
            time.sleep(MEASURED_SECONDS)
            cpu_shares = [
                (read_cpu_seconds(pid) - earlier) / MEASURED_SECONDS
                for pid, earlier in zip(pids, before, strict=True)
            ]
            resident_bytes = [_read_resident_bytes(pid) for pid in pids]
        yield Row(
            f'{fleet} idle VMs, {MEASURED_SECONDS} s',
            f'{sum(cpu_shares) / fleet:.2%} of a core a VM,'
            f' most {max(cpu_shares):.2%}',
            f'{max(resident_bytes) / 2**20:.0f} MB resident at most',
        )


def _have_all_peers(cluster: Deployment) -> bool:
    expected_peers = len(cluster.vms) - 1
    peer_counts = [len(vm.status()['vm']['peers']) for vm in cluster.vms]
    return peer_counts == [expected_peers] * len(cluster.vms)


def _read_resident_bytes(pid: int) -> int:
    pages = Path(f'/proc/{pid}/statm').read_text().split()[1]
    return int(pages) * PAGE_BYTES
