"""Checks the guarantees of entry VMs against the records of a soak run."""

import contextlib
import http.client
import threading
import time
from collections import Counter

from soak.callers import NOT_RUN_STATUSES
from tests.entry_stage import BOUNDS, ROUTES

#: Time limits of a VM apply this long after its last disturbance.
STABILIZATION_SECONDS = 5
#: Allowance for processes and threads that share few cores.
SCHEDULING_SLACK_SECONDS = 0.6
MAX_DRAIN_SECONDS = BOUNDS['drain_ms'] / 1000 + SCHEDULING_SLACK_SECONDS
MAX_APPLY_SECONDS = BOUNDS['config_apply_ms'] / 1000 + SCHEDULING_SLACK_SECONDS
MAX_RESPONSE_SECONDS = (
    ROUTES[0]['timeout_ms'] / 1000 + 0.5 + SCHEDULING_SLACK_SECONDS
)
PROBE_INTERVAL_SECONDS = 0.25
#: Requests under a limit are counted over this time.
LIMIT_WINDOW_SECONDS = 4
HTTP_NOT_FOUND = 404


class RouteTableProbe:
    """Polls the version of the route table that is in force at each VM."""

    def __init__(self, deployment, failures):
        self._deployment = deployment
        self._failures = failures
        self._highest_by_process = {}

    def run(self, stop_requested):
        """Probe all VMs until a stop is requested."""
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
        """Return the version in force, None if unknown, 0 if there is none.

        Each version has a route of its own: the VM answers 404 for the routes
        of versions that are not in force.
        """
        versions = list(range(newest, max(newest - 6, 0), -1))
        # The newest version is probed again at the end: if it comes into force
        # after its first probe, the probes of all older versions fail too.
        for table_version in [*versions, newest]:
            status = _request_status(vm, f'/v{table_version}/probe')
            if status in {0, 408, 503}:
                return None
            if status != HTTP_NOT_FOUND:
                return table_version
        return 0

    def _check(self, vm, start_count, started_at, newest, found):
        key = (vm.number, start_count)
        # A version that is published during the probe makes it inconclusive.
        is_unchanged = newest == self._deployment.table_version
        if is_unchanged and found < self._highest_by_process.get(key, 0):
            self._failures.append(
                f'vm-{vm.number} went back to route table version {found}, '
                f'it had {self._highest_by_process[key]} in force',
            )
        self._highest_by_process[key] = max(
            found, self._highest_by_process.get(key, 0)
        )
        due = [
            table_version
            for table_version, at in self._deployment.published_at.items()
            if at + MAX_APPLY_SECONDS < started_at
        ]
        targets = {'store', f'vm-{vm.number}', f'stop-{vm.number}'}
        is_undisturbed = not self._deployment.disturbances.is_disturbed(
            targets,
            started_at - STABILIZATION_SECONDS - MAX_APPLY_SECONDS,
            time.monotonic(),
        )
        if (
            is_undisturbed
            and is_unchanged
            and found
            and found < max(due, default=0)
        ):
            self._failures.append(
                f'vm-{vm.number} has route table version {found} in force, '
                f'{max(due)} is due',
            )


def _request_status(vm, path):
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
    """Return the violated guarantees at the end of a soak run."""
    requests = [
        request for caller in callers for request in caller.sent_requests
    ]
    ran = Counter(
        request.header(b'request-id').decode()
        for searcher in deployment.searchers
        for request in tuple(searcher.seen)
        if request.has_run
    )
    violations = list(_find_repeated_runs(requests, ran))
    violations += _find_false_refusals(requests, ran)
    violations += _find_late_work(deployment)
    violations += _find_exceeded_limits(deployment)
    violations += _find_slow_responses(deployment, requests)
    if planned_only:
        violations += _find_cut_connections(deployment, requests)
    with contextlib.suppress(ZeroDivisionError):
        served = sum(request.status == 200 for request in requests) / len(
            requests
        )
        if served < (0.97 if planned_only else 0.4):
            violations.append(
                f'only a share of {served:.2f} of {len(requests)} '
                'requests was served'
            )
    return violations


def _find_repeated_runs(requests, ran):
    for request in requests:
        if request.kind == 'once' and ran[request.request_id] > 1:
            yield (
                f'non-idempotent request ran {ran[request.request_id]} times: '
                f'{request}'
            )


def _find_false_refusals(requests, ran):
    for request in requests:
        if request.status in NOT_RUN_STATUSES and ran[request.request_id]:
            yield f'refused as not run, but ran: {request}'


def _find_late_work(deployment):
    vm_targets = {f'vm-{vm.number}' for vm in deployment.vms}
    for searcher in deployment.searchers:
        drained_at = deployment.drained_at.get(searcher.searcher_id)
        late_requests = [
            request
            for request in tuple(searcher.seen)
            if drained_at is not None
            and request.at > drained_at + MAX_DRAIN_SECONDS
        ]
        for request in late_requests:
            if not deployment.disturbances.is_disturbed(
                {'store', *vm_targets},
                drained_at - STABILIZATION_SECONDS,
                request.at,
            ):
                delay_seconds = request.at - drained_at
                yield (
                    f'{searcher.searcher_id} got work '
                    f'{delay_seconds:.1f} s after its drain'
                )


def _find_exceeded_limits(deployment):
    """Yield searchers that got more than one and a half times their limit."""
    vm_targets = {f'vm-{vm.number}' for vm in deployment.vms}
    for span in deployment.limit_spans:
        since = span.began_at + STABILIZATION_SECONDS
        until = min(span.ended_at, since + LIMIT_WINDOW_SECONDS)
        arrived = [
            request
            for request in tuple(span.searcher.seen)
            if since <= request.at < until
        ]
        allowed = 1.5 * span.requests_per_second * LIMIT_WINDOW_SECONDS + 5
        is_disturbed = deployment.disturbances.is_disturbed(
            vm_targets, span.began_at, until
        )
        if len(arrived) > allowed and not is_disturbed:
            yield (
                f'{span.searcher.searcher_id} takes '
                f'{span.requests_per_second} a second and got '
                f'{len(arrived)} in {LIMIT_WINDOW_SECONDS} s'
            )


def _find_slow_responses(deployment, requests):
    for request in requests:
        is_vm_disturbed = deployment.disturbances.is_disturbed(
            {f'vm-{request.vm}'},
            request.started_at - 1,
            request.ended_at,
        )
        if (
            request.ended_at - request.started_at > MAX_RESPONSE_SECONDS
            and not is_vm_disturbed
        ):
            yield (
                f'answered after '
                f'{request.ended_at - request.started_at:.1f} s, '
                f'the limit is {MAX_RESPONSE_SECONDS:.1f} s: {request}'
            )


def _find_cut_connections(deployment, requests):
    """Yield requests that were cut off in a run without injected faults."""
    for request in requests:
        is_connection_refused = 'Refused' in request.error
        # A VM may close an idle connection before it reads the next request.
        is_idle_close = 'RemoteDisconnected' in request.error
        if request.error and not (is_connection_refused or is_idle_close):
            yield f'connection cut during planned work: {request}'
