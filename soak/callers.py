"""Callers that note what they get, and check what one answer shows."""

import http.client
import itertools
import random
import threading
import time
from dataclasses import dataclass

from basilwall.forwarding.merging import merge_records
from soak.deployment import READINESS_PORT
from tests.entry_stage import SHARDS

REQUEST_TIMEOUT_SECONDS = 8
READINESS_INTERVAL_SECONDS = 0.3
TOP_K = 3
NOT_RUN_STATUSES = {408, 421, 429, 503}
METHOD_BY_KIND = {'one': 'GET', 'once': 'POST', 'all': 'GET'}


@dataclass
class SentRequest:
    """What became of one request; status 0 if it has no whole answer."""

    request_id: str
    kind: str
    vm: int
    start_count: int
    started_at: float
    ended_at: float = 0
    status: int = 0
    error: str = ''


class Balancer:
    """Sends callers to VMs that said lately that they are ready."""

    def __init__(self, deployment, stop_requested):
        self._deployment = deployment
        self._missed_checks = dict.fromkeys(range(len(deployment.vms)), 9)
        self._stop_requested = stop_requested
        for vm in deployment.vms:
            threading.Thread(target=self._poll_readiness, args=(vm,)).start()

    def ready_vms(self):
        """Return the VMs in rotation."""
        return [
            vm
            for vm in self._deployment.vms
            if self._missed_checks[vm.number] < 2
        ]

    def _poll_readiness(self, vm):
        while not self._stop_requested.wait(READINESS_INTERVAL_SECONDS):
            status = self._fetch_readiness_status(vm)
            missed = self._missed_checks[vm.number] + 1
            self._missed_checks[vm.number] = 0 if status == 200 else missed

    def _fetch_readiness_status(self, vm):
        connection = http.client.HTTPConnection(
            vm.ip, READINESS_PORT, timeout=0.5
        )
        try:
            connection.request('GET', '/v1/readiness')
            return connection.getresponse().status
        except (OSError, http.client.HTTPException):
            return 0
        finally:
            connection.close()


class Caller:
    """One caller: a request after the other, some on a kept connection."""

    request_numbers = itertools.count()

    def __init__(self, deployment, balancer, seed, failures):
        self.seen = []
        self._deployment = deployment
        self._balancer = balancer
        self._rng = random.Random(seed)
        self._failures = failures
        self._connection = None
        self._vm = None

    def run(self, stop_requested):
        """Call until told to stop."""
        while not stop_requested.wait(self._rng.uniform(0.005, 0.03)):
            if self._connection is None:
                ready_vms = self._balancer.ready_vms()
                if not ready_vms:
                    continue
                self._vm = self._rng.choice(ready_vms)
                self._connection = http.client.HTTPConnection(
                    *self._vm.caller_address,
                    timeout=REQUEST_TIMEOUT_SECONDS,
                )
            self._send_request()
        self._close_connection()

    def _send_request(self):
        kind = self._rng.choice(('one', 'once', 'all'))
        request_id = f'{kind}-{next(self.request_numbers)}-{id(self)}'
        vm = self._vm
        seen = SentRequest(
            request_id, kind, vm.number, vm.start_count, time.monotonic()
        )
        self.seen.append(seen)
        try:
            self._read_response(seen)
        except (OSError, http.client.HTTPException) as error:
            seen.error = repr(error)
            self._close_connection()
        seen.ended_at = time.monotonic()
        if self._rng.random() < 0.5:
            self._close_connection()

    def _read_response(self, seen):
        connection = self._connection
        connection.request(
            METHOD_BY_KIND[seen.kind],
            f'/{seen.kind}/{seen.request_id}',
            b'x' if seen.kind == 'once' else None,
            {
                'Host': 'h.example',
                'Request-Id': seen.request_id,
                'Request-Deadline-Ms': '1500',
            },
        )
        response = connection.getresponse()
        body = response.read()
        seen.status = response.status
        if response.will_close:
            self._close_connection()
        if response.status == 200:
            mismatch = self._find_mismatch(seen, response, body)
            if mismatch:
                self._failures.append(f'{seen}: {mismatch}')

    def _find_mismatch(self, seen, response, body):
        """Return what is wrong with a success, or an empty text."""
        if seen.kind == 'all':
            return self._find_merge_mismatch(seen, response, body)
        signature = response.getheader('Server-Stamp') or ''
        searcher, _, request_id = signature.rpartition('.')
        if request_id != seen.request_id:
            return f'the answer to another request: {signature}'
        return (
            ''
            if body == self._expected_body(searcher)
            else 'not the whole body'
        )

    def _find_merge_mismatch(self, seen, response, body):
        signatures = (response.getheader('Part-Stamps') or '').split(', ')
        named = [one.rpartition('.') for one in signatures]
        if {request_id for *_, request_id in named} != {seen.request_id}:
            return f'a part of another request: {signatures}'
        shards = {searcher.split('.')[0] for searcher, *_ in named}
        missing = int(response.getheader('Missing-Parts') or 0)
        if len(shards) != len(named) or not shards <= set(SHARDS):
            return f'parts of the same shard: {signatures}'
        if len(shards) + missing != len(SHARDS) or len(shards) < 3:
            return f'coverage not as said: {signatures}, {missing}'
        bodies = [self._expected_body(searcher) for searcher, *_ in named]
        return (
            ''
            if body == merge_records(bodies, TOP_K)
            else 'not the greatest records'
        )

    def _expected_body(self, searcher_id):
        for searcher in self._deployment.searchers:
            if searcher.searcher_id == searcher_id:
                return searcher.body
        return b''

    def _close_connection(self):
        if self._connection is not None:
            self._connection.close()
            self._connection = None
