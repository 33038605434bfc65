"""A request content under which searchers end, sent again and again."""

import contextlib
import http.client
import random
import time

from soak.checks import STABILIZATION_SECONDS

CONTENT = b'/crashing'
RESTART_SECONDS = (1, 3)
REPEAT_SECONDS = (0.3, 0.9)
POLL_SECONDS = 0.02
#: Repeats that may reach searchers later than `STABILIZATION_SECONDS` after
#: the third has ended.
MAX_LATE_REPEATS = 3
REQUEST_TIMEOUT_SECONDS = 3


class CrashingCaller:
    """Repeats the content at random VMs and starts ended searchers again."""

    def __init__(self, deployment, balancer, seed):
        self._deployment = deployment
        self._balancer = balancer
        self._rng = random.Random(seed)
        self._prefix = self._rng.choice(('/one', '/all'))
        self._repeat_at = 0
        self._vm_by_request = {}
        self._restart_at_by_searcher = {}
        self._ended_at = []
        for searcher in deployment.searchers:
            searcher.crash.content = CONTENT

    def run(self, stop_requested):
        """Send the content until a stop is requested."""
        while not stop_requested.wait(POLL_SECONDS):
            self._follow_searchers()
            if time.monotonic() >= self._repeat_at:
                self._repeat_at = time.monotonic() + self._rng.uniform(
                    *REPEAT_SECONDS
                )
                self._repeat()

    def violations(self):
        """Yield a violation if the content reached searchers too often."""
        if len(self._ended_at) < MAX_LATE_REPEATS:
            return
        late_from = self._ended_at[2] + STABILIZATION_SECONDS
        late = {
            request.header(b'request-id').decode()
            for searcher in self._deployment.searchers
            for request in tuple(searcher.seen)
            if CONTENT in request.target
            and request.at > late_from
            and not self._is_vm_disturbed(request)
        }
        if len(late) > MAX_LATE_REPEATS:
            yield (
                f'{len(late)} repeats of a content under which three '
                f'searchers had ended; {len(self._ended_at)} ended in all'
            )

    def _is_vm_disturbed(self, request):
        vm = self._vm_by_request[request.header(b'request-id').decode()]
        return self._deployment.disturbances.is_disturbed(
            {f'vm-{vm.number}', f'stop-{vm.number}'},
            request.at - STABILIZATION_SECONDS,
            request.at,
        )

    def _repeat(self):
        ready_vms = self._balancer.ready_vms()
        if not ready_vms:
            return
        vm = self._rng.choice(ready_vms)
        request_id = f'crash-{len(self._vm_by_request)}'
        self._vm_by_request[request_id] = vm
        connection = http.client.HTTPConnection(
            *vm.caller_address, timeout=REQUEST_TIMEOUT_SECONDS
        )
        headers = {'Host': 'h.example', 'Request-Id': request_id}
        with contextlib.suppress(OSError, http.client.HTTPException):
            connection.request(
                'GET', f'{self._prefix}{CONTENT.decode()}', headers=headers
            )
            connection.getresponse().read()
        connection.close()

    def _follow_searchers(self):
        """Refuse connections for searchers that ended, then restart them."""
        now = time.monotonic()
        for searcher in tuple(self._deployment.searchers):
            if not searcher.crash.has_ended:
                continue
            if searcher not in self._restart_at_by_searcher:
                proxies = self._deployment.proxy_by_id
                proxies[searcher.searcher_id].stop_listening()
                self._ended_at.append(now)
                restart_at = now + self._rng.uniform(*RESTART_SECONDS)
                self._restart_at_by_searcher[searcher] = restart_at
            elif self._restart_at_by_searcher[searcher] <= now:
                self._restart_at_by_searcher[searcher] = float('inf')
                self._deployment.restart_searcher(searcher)
