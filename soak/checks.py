"""The promises, checked against what callers and searchers saw."""

import contextlib
import http.client
import threading
import time
from collections import Counter

from soak.callers import NOT_RUN_STATUSES
from tests.entry_stage import BOUNDS, ROUTES

#: After the last disturbance a VM is held to bounds in time, in seconds.
STABILIZATION_SECONDS = 5
#: For processes and threads that share few cores, in seconds.
SCHEDULING_SLACK_SECONDS = 0.6
MAX_DRAIN_SECONDS = BOUNDS['drain_ms'] / 1000 + SCHEDULING_SLACK_SECONDS
MAX_APPLY_SECONDS = BOUNDS['config_apply_ms'] / 1000 + SCHEDULING_SLACK_SECONDS
MAX_RESPONSE_SECONDS = (
    ROUTES[0]['timeout_ms'] / 1000 + 0.5 + SCHEDULING_SLACK_SECONDS
)
PROBE_INTERVAL_SECONDS = 0.25
HTTP_NOT_FOUND = 404


class RouteTableProbe:
    """Asks each VM which version of the table it has in force."""

    def __init__(self, deployment, failures):
        self._deployment = deployment
        self._failures = failures
        self._highest = {}

    def run(self, stop_requested):
        """Probe all VMs until told to stop."""
        threads = [
            threading.Thread(target=self._probe_vm, args=(vm, stop_requested))
            for vm in self._deployment.vms
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    def _probe_vm(self, vm, stop_requested):
        while not stop_requested.wait(PROBE_INTERVAL_SECONDS):
            start_count, started_at = vm.start_count, time.monotonic()
            newest = self._deployment.table_version
            found = self._find_version(vm, newest)
            if found is not None and start_count == vm.start_count:
                self._check(vm, start_count, started_at, newest, found)

    def _find_version(self, vm, newest):
        """Return the version in force, None if that can't be told."""
        versions = list(range(newest, max(newest - 6, 0), -1))
        # The newest is asked for again: it may have come into force after the
        # first question, and then no question found any version.
        for table_version in [*versions, newest]:
            status = _ask(vm, f'/v{table_version}/probe')
            if status in {0, 408, 503}:
                return None
            if status != HTTP_NOT_FOUND:
                return table_version
        return 0

    def _check(self, vm, start_count, started_at, newest, found):
        key = (vm.number, start_count)
        # Versions may have come in between the questions of one probe.
        is_still = newest == self._deployment.table_version
        if is_still and found < self._highest.get(key, 0):
            self._failures.append(
                f'vm-{vm.number} went back to {found} of {self._highest[key]}',
            )
        self._highest[key] = max(found, self._highest.get(key, 0))
        due = [
            table_version
            for table_version, at in self._deployment.published_at.items()
            if at + MAX_APPLY_SECONDS < started_at
        ]
        what = {'store', f'vm-{vm.number}', f'stop-{vm.number}'}
        is_calm = not self._deployment.disturbances.is_disturbed(
            what,
            started_at - STABILIZATION_SECONDS - MAX_APPLY_SECONDS,
            time.monotonic(),
        )
        if is_calm and is_still and found and found < max(due, default=0):
            self._failures.append(
                f'vm-{vm.number} has {found} in force, due is {max(due)}',
            )


def _ask(vm, path):
    connection = http.client.HTTPConnection(*vm.caller_address, timeout=3)
    try:
        connection.request(
            'GET',
            path,
            headers={'Host': 'h.example', 'Request-Id': 'probe'},
        )
        return connection.getresponse().status
    except (OSError, http.client.HTTPException):
        return 0
    finally:
        connection.close()


def find_violations(deployment, callers, planned_only):
    """Return what was broken, seen from the end of a soak."""
    seen = [one for caller in callers for one in caller.seen]
    ran = Counter(
        request.header(b'request-id').decode()
        for searcher in deployment.searchers
        for request in tuple(searcher.seen)
        if request.has_run
    )
    violations = list(_find_repeated_runs(seen, ran))
    violations += _find_false_refusals(seen, ran)
    violations += _find_late_work(deployment)
    violations += _find_slow_responses(deployment, seen)
    if planned_only:
        violations += _find_cut_connections(deployment, seen)
    with contextlib.suppress(ZeroDivisionError):
        served = sum(one.status == 200 for one in seen) / len(seen)
        if served < (0.97 if planned_only else 0.4):
            violations.append(f'only {served:.2f} of {len(seen)} were served')
    return violations


def _find_repeated_runs(seen, ran):
    for one in seen:
        if one.kind == 'once' and ran[one.request_id] > 1:
            yield f'ran {ran[one.request_id]} times: {one}'


def _find_false_refusals(seen, ran):
    for one in seen:
        if one.status in NOT_RUN_STATUSES and ran[one.request_id]:
            yield f'refused as not run, and ran: {one}'


def _find_late_work(deployment):
    vms = {f'vm-{vm.number}' for vm in deployment.vms}
    for searcher in deployment.searchers:
        drained = deployment.drained_at.get(searcher.searcher_id)
        late = [
            one
            for one in tuple(searcher.seen)
            if drained is not None and one.at > drained + MAX_DRAIN_SECONDS
        ]
        for one in late:
            if not deployment.disturbances.is_disturbed(
                {'store', *vms},
                drained - STABILIZATION_SECONDS,
                one.at,
            ):
                after = one.at - drained
                yield f'{searcher.searcher_id} got work {after:.1f} s late'


def _find_slow_responses(deployment, seen):
    for one in seen:
        is_own = deployment.disturbances.is_disturbed(
            {f'vm-{one.vm}'},
            one.started_at - 1,
            one.ended_at,
        )
        if one.ended_at - one.started_at > MAX_RESPONSE_SECONDS and not is_own:
            yield f'held for {one.ended_at - one.started_at:.1f} s: {one}'


def _find_cut_connections(deployment, seen):
    """Planned work alone cuts off nobody whom a VM was to serve."""
    for one in seen:
        is_refused = 'Refused' in one.error
        # A kept connection may be closed before its next request is read.
        is_idle_close = 'RemoteDisconnected' in one.error
        if one.error and not (is_refused or is_idle_close):
            yield f'cut off by planned work: {one}'
