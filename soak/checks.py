"""The promises, checked against what callers and searchers saw."""

import contextlib
import http.client
import threading
import time
from collections import Counter

from soak.callers import PROMISES
from tests.entry_stage import BOUNDS, ROUTES

#: After the last disturbance a VM is held to bounds in time, in seconds.
STABLE = 5
#: For processes and threads that share few cores, in seconds.
SLACK = 0.6
DRAIN = BOUNDS['drain_ms'] / 1000 + SLACK
APPLY = BOUNDS['config_apply_ms'] / 1000 + SLACK
LONGEST = ROUTES[0]['timeout_ms'] / 1000 + 0.5 + SLACK
PROBE_EVERY = 0.25
HTTP_NOT_FOUND = 404


class TableProbe:
    """Asks each VM which version of the table it has in force."""

    def __init__(self, world, failures):
        self._world = world
        self._failures = failures
        self._highest = {}

    def run(self, stopping):
        """Probe all VMs until told to stop."""
        threads = [
            threading.Thread(target=self._probe_vm, args=(vm, stopping))
            for vm in self._world.vms
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    def _probe_vm(self, vm, stopping):
        while not stopping.wait(PROBE_EVERY):
            life, began = vm.life, time.monotonic()
            newest = self._world.version
            found = self._found(vm, newest)
            if found is not None and life == vm.life:
                self._check(vm, life, began, newest, found)

    def _found(self, vm, newest):
        """Return the version in force, None if that can't be told."""
        versions = list(range(newest, max(newest - 6, 0), -1))
        # The newest is asked for again: it may have come into force after the
        # first question, and then no question found any version.
        for version in [*versions, newest]:
            status = _ask(vm, f'/v{version}/probe')
            if status in {0, 408, 503}:
                return None
            if status != HTTP_NOT_FOUND:
                return version
        return 0

    def _check(self, vm, life, began, newest, found):
        key = (vm.number, life)
        # Versions may have come in between the questions of one probe.
        is_still = newest == self._world.version
        if is_still and found < self._highest.get(key, 0):
            self._failures.append(
                f'vm-{vm.number} went back to {found} of {self._highest[key]}',
            )
        self._highest[key] = max(found, self._highest.get(key, 0))
        due = [
            version
            for version, at in self._world.versions_at.items()
            if at + APPLY < began
        ]
        what = {'store', f'vm-{vm.number}', f'stop-{vm.number}'}
        is_calm = not self._world.disturbances.touched(
            what,
            began - STABLE - APPLY,
            time.monotonic(),
        )
        if is_calm and is_still and found and found < max(due, default=0):
            self._failures.append(
                f'vm-{vm.number} has {found} in force, due is {max(due)}',
            )


def _ask(vm, path):
    connection = http.client.HTTPConnection(*vm.front, timeout=3)
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


def check_all(world, callers, planned_only):
    """Return what was broken, seen from the end of a soak."""
    seen = [one for caller in callers for one in caller.seen]
    ran = Counter(
        request.header(b'request-id').decode()
        for searcher in world.searchers
        for request in tuple(searcher.seen)
        if request.has_run
    )
    broken = list(_twice(seen, ran))
    broken += _untrue_refusals(seen, ran)
    broken += _after_draining(world)
    broken += _held_too_long(world, seen)
    if planned_only:
        broken += _cut_off(world, seen)
    with contextlib.suppress(ZeroDivisionError):
        served = sum(one.status == 200 for one in seen) / len(seen)
        if served < (0.97 if planned_only else 0.4):
            broken.append(f'only {served:.2f} of {len(seen)} were served')
    return broken


def _twice(seen, ran):
    for one in seen:
        if one.kind == 'once' and ran[one.request_id] > 1:
            yield f'ran {ran[one.request_id]} times: {one}'


def _untrue_refusals(seen, ran):
    for one in seen:
        if one.status in PROMISES and ran[one.request_id]:
            yield f'refused as not run, and ran: {one}'


def _after_draining(world):
    vms = {f'vm-{vm.number}' for vm in world.vms}
    for searcher in world.searchers:
        drained = world.drained_at.get(searcher.searcher_id)
        late = [
            one
            for one in tuple(searcher.seen)
            if drained is not None and one.at > drained + DRAIN
        ]
        for one in late:
            if not world.disturbances.touched(
                {'store', *vms},
                drained - STABLE,
                one.at,
            ):
                after = one.at - drained
                yield f'{searcher.searcher_id} got work {after:.1f} s late'


def _held_too_long(world, seen):
    for one in seen:
        is_own = world.disturbances.touched(
            {f'vm-{one.vm}'},
            one.began - 1,
            one.ended,
        )
        if one.ended - one.began > LONGEST and not is_own:
            yield f'held for {one.ended - one.began:.1f} s: {one}'


def _cut_off(world, seen):
    """Planned work alone cuts off nobody whom a VM was to serve."""
    for one in seen:
        is_refused = 'Refused' in one.error
        # A kept connection may be closed before its next request is read.
        is_idle_close = 'RemoteDisconnected' in one.error
        if one.error and not (is_refused or is_idle_close):
            yield f'cut off by planned work: {one}'
