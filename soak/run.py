"""Plays seeds and says what was broken."""

import contextlib
import tempfile
import threading
import time
from dataclasses import dataclass
from pathlib import Path

from soak.callers import Balancer, Caller
from soak.checks import TableProbe, check_all
from soak.faults import Faults
from soak.world import running_world

CALLERS = 6
VMS = 3
READY_SECONDS = 20
#: What is checked after the last fault, in seconds.
CALM = 1.5


@dataclass
class Report:
    """What one seed showed."""

    seed: int
    requests: int
    served: int
    events: list
    broken: list
    folder: str


def play(seed, seconds=10, vms=VMS):
    """Play one seed; a third of them have planned work only.

    Args:
        seed: Draws all that happens.
        seconds: How long things happen.
        vms: How many VMs run.

    Returns:
        What was seen and what was broken.
    """
    planned_only = seed % 3 == 0
    folder = Path(tempfile.mkdtemp(prefix=f'soak-{seed}-'))
    failures = []
    stopping = threading.Event()
    with running_world(folder, vms) as world, _setting(stopping):
        balancer = Balancer(world, stopping)
        _wait_ready(balancer, vms)
        callers = [
            Caller(world, balancer, seed * CALLERS + number, failures)
            for number in range(CALLERS)
        ]
        probe = TableProbe(world, failures)
        threads = [
            threading.Thread(target=one.run, args=(stopping,))
            for one in (*callers, probe)
        ]
        for thread in threads:
            thread.start()
        faults = Faults(world, seed, planned_only)
        faults.run(seconds)
        time.sleep(CALM)
        stopping.set()
        for thread in threads:
            thread.join()
        broken = [*failures, *faults.errors]
        broken += check_all(world, callers, planned_only)
    seen = [one for caller in callers for one in caller.seen]
    served = sum(one.status == 200 for one in seen)
    return Report(seed, len(seen), served, faults.events, broken, str(folder))


@contextlib.contextmanager
def _setting(stopping):
    """End all threads of a soak, also one that failed to begin."""
    try:
        yield
    finally:
        stopping.set()


def _wait_ready(balancer, vms):
    ends_at = time.monotonic() + READY_SECONDS
    while len(balancer.ready()) < vms:
        if time.monotonic() > ends_at:
            raise TimeoutError('the VMs did not become ready')
        time.sleep(0.1)
