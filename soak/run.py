"""Plays seeds and says what was broken."""

import contextlib
import tempfile
import threading
import time
from dataclasses import dataclass
from pathlib import Path

from soak.callers import Balancer, Caller
from soak.checks import RouteTableProbe, find_violations
from soak.deployment import running_deployment
from soak.faults import FaultInjector

CALLER_COUNT = 6
DEFAULT_VM_COUNT = 3
READY_TIMEOUT_SECONDS = 20
#: What is checked after the last fault, in seconds.
FINAL_CHECK_SECONDS = 1.5


@dataclass
class Report:
    """What one seed showed."""

    seed: int
    requests: int
    served: int
    events: list
    violations: list
    folder: str


def run_seed(seed, seconds=10, vms=DEFAULT_VM_COUNT):
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
    stop_requested = threading.Event()
    with (
        running_deployment(folder, vms) as deployment,
        _stopping_threads(stop_requested),
    ):
        balancer = Balancer(deployment, stop_requested)
        _wait_ready(balancer, vms)
        callers = [
            Caller(deployment, balancer, seed * CALLER_COUNT + number, failures)
            for number in range(CALLER_COUNT)
        ]
        probe = RouteTableProbe(deployment, failures)
        threads = [
            threading.Thread(target=one.run, args=(stop_requested,))
            for one in (*callers, probe)
        ]
        for thread in threads:
            thread.start()
        faults = FaultInjector(deployment, seed, planned_only)
        faults.run(seconds)
        time.sleep(FINAL_CHECK_SECONDS)
        stop_requested.set()
        for thread in threads:
            thread.join()
        violations = [*failures, *faults.errors]
        violations += find_violations(deployment, callers, planned_only)
    seen = [one for caller in callers for one in caller.seen]
    served = sum(one.status == 200 for one in seen)
    return Report(
        seed, len(seen), served, faults.events, violations, str(folder)
    )


@contextlib.contextmanager
def _stopping_threads(stop_requested):
    """End all threads of a soak, also one that failed to begin."""
    try:
        yield
    finally:
        stop_requested.set()


def _wait_ready(balancer, vms):
    ends_at = time.monotonic() + READY_TIMEOUT_SECONDS
    while len(balancer.ready_vms()) < vms:
        if time.monotonic() > ends_at:
            raise TimeoutError('the VMs did not become ready')
        time.sleep(0.1)
