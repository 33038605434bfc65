"""Callers that record the outcome of each request and check each answer."""

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
#: The `top_k` of the gathering route in tests/entry_stage.py.
TOP_K = 3
#: With these statuses an entry VM states that the request was not run.
NOT_RUN_STATUSES = {408, 421, 429, 503}
METHOD_BY_KIND = {'one': 'GET', 'once': 'POST', 'all': 'GET'}


@dataclass
class SentRequest:
    """Outcome of one request; status 0 if no complete answer arrived.

    Times are in monotonic seconds. `start_count` tells the processes of one
    VM apart.
    """

    request_id: str
    kind: str
    vm: int
    start_count: int
    started_at: float
    ended_at: float = 0
    status: int = 0
    error: str = ''


class Balancer:
    """Load balancer that polls the readiness of VMs.

    A VM enters the rotation at its first successful readiness check and leaves
    it after two failed checks in a row.
    """

    def __init__(self, deployment, stop_requested):
        self._deployment = deployment
        self._missed_checks = dict.fromkeys(range(len(deployment.vms)), 9)
        self._stop_requested = stop_requested
        for vm in deployment.vms:
            threading.Thread(target=self._poll_readiness, args=(vm,)).start()

    def ready_vms(self):
        """Return the VMs in the rotation."""
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
    """Caller that sends one request at a time, some on a reused connection."""

    request_numbers = itertools.count()

    def __init__(self, deployment, balancer, seed, failures):
        self.sent_requests = []
        self._deployment = deployment
        self._balancer = balancer
        self._rng = random.Random(seed)
        self._failures = failures
        self._connection = None
        self._vm = None

    def run(self, stop_requested):
        """Send requests until a stop is requested."""
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
        sent = SentRequest(
            request_id, kind, vm.number, vm.start_count, time.monotonic()
        )
        self.sent_requests.append(sent)
        try:
            self._exchange(sent)
        except (OSError, http.client.HTTPException) as error:
            sent.error = repr(error)
            self._close_connection()
        sent.ended_at = time.monotonic()
        if self._rng.random() < 0.5:
            self._close_connection()

    def _exchange(self, sent):
        connection = self._connection
        connection.request(
            METHOD_BY_KIND[sent.kind],
            f'/{sent.kind}/{sent.request_id}',
            b'x' if sent.kind == 'once' else None,
            {
                'Host': 'h.example',
                'Request-Id': sent.request_id,
                'Request-Deadline-Ms': '1500',
            },
        )
        response = connection.getresponse()
        body = response.read()
        sent.status = response.status
        if response.will_close:
            self._close_connection()
        if response.status == 200:
            mismatch = self._find_mismatch(sent, response, body)
            if mismatch:
                self._failures.append(f'{sent}: {mismatch}')

    def _find_mismatch(self, sent, response, body):
        """Describe the fault of a successful answer, empty if it is right."""
        if sent.kind == 'all':
            return self._find_merge_mismatch(sent, response, body)
        signature = response.getheader('Server-Stamp') or ''
        searcher, _, request_id = signature.rpartition('.')
        if request_id != sent.request_id:
            return f'answer to another request: {signature}'
        return (
            ''
            if body == self._expected_body(searcher)
            else 'body is incomplete or differs'
        )

    def _find_merge_mismatch(self, sent, response, body):
        signatures = (response.getheader('Part-Stamps') or '').split(', ')
        stamps = [signature.rpartition('.') for signature in signatures]
        if {request_id for *_, request_id in stamps} != {sent.request_id}:
            return f'part of another request: {signatures}'
        shards = {searcher.split('.')[0] for searcher, *_ in stamps}
        missing = int(response.getheader('Missing-Parts') or 0)
        if len(shards) != len(stamps) or not shards <= set(SHARDS):
            return f'duplicate or unknown shards: {signatures}'
        if len(shards) + missing != len(SHARDS) or len(shards) < 3:
            return (
                f'coverage differs from the headers: {signatures}, '
                f'{missing} missing'
            )
        bodies = [self._expected_body(searcher) for searcher, *_ in stamps]
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
