"""Runs the soak test for one seed and reports the violations."""

import contextlib
import tempfile
import threading
import time
from dataclasses import dataclass
from pathlib import Path

from soak.callers import Balancer, Caller
from soak.checks import RouteTableProbe, find_violations
from soak.crashes import CrashingCaller
from soak.deployment import running_deployment
from soak.faults import LATER_FAULT_SETS, FaultInjector, FaultSet

CALLER_COUNT = 6
DEFAULT_VM_COUNT = 3
READY_TIMEOUT_SECONDS = 20
#: Requests and probes go on this long after the last fault.
FINAL_CHECK_SECONDS = 1.5
#: A run with fewer requests shows little, so it goes on until it has them.
ENOUGH_REQUESTS = 301


@dataclass
class Report:
    """Result of one seed; `folder` holds the logs and settings of the VMs."""

    seed: int
    requests: int
    served: int
    events: list
    violations: list
    folder: str


def run_seed(seed, seconds=10, vms=DEFAULT_VM_COUNT, fault_set=FaultSet.ALL):
    """Run one seed; each third seed has planned operations only.

    Another third has a request content under which searchers end.

    Args:
        seed: Seeds all random draws; a multiple of 3 injects no faults.
        seconds: Time for which actions are started, longer if the callers have
            sent fewer than `ENOUGH_REQUESTS` by then.
        vms: Number of VMs.
        fault_set: The faults to draw from.

    Returns:
        The request counts, the events and the violations.
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
        crashing = [
            CrashingCaller(deployment, balancer, seed)
            for _ in range(seed % 3 == 1 and fault_set in LATER_FAULT_SETS)
        ]
        threads = [
            threading.Thread(target=worker.run, args=(stop_requested,))
            for worker in (*callers, *crashing, probe)
        ]
        for thread in threads:
            thread.start()
        injector = FaultInjector(deployment, seed, planned_only, fault_set)
        injector.run(
            seconds,
            lambda: (
                sum(len(caller.sent_requests) for caller in callers)
                >= ENOUGH_REQUESTS
            ),
        )
        time.sleep(FINAL_CHECK_SECONDS)
        stop_requested.set()
        for thread in threads:
            thread.join()
        violations = [*failures, *injector.errors]
        violations += find_violations(deployment, callers, planned_only)
        for caller in crashing:
            violations += caller.violations()
    requests = [
        request for caller in callers for request in caller.sent_requests
    ]
    served = sum(request.status == 200 for request in requests)
    return Report(
        seed, len(requests), served, injector.events, violations, str(folder)
    )


@contextlib.contextmanager
def _stopping_threads(stop_requested):
    """Stop all threads at the end, also if the start failed."""
    try:
        yield
    finally:
        stop_requested.set()


def _wait_ready(balancer, vms):
    ends_at = time.monotonic() + READY_TIMEOUT_SECONDS
    while len(balancer.ready_vms()) < vms:
        if time.monotonic() > ends_at:
            raise TimeoutError(
                f'{vms} VMs were not all ready within {READY_TIMEOUT_SECONDS} s'
            )
        time.sleep(0.1)
