"""Callers that note what they get, and check what one answer shows."""

import http.client
import itertools
import random
import threading
import time
from dataclasses import dataclass

from basilwall.forwarding.merging import merge_records
from soak.world import READY
from tests.entry_stage import SHARDS

TIMEOUT = 8
ASK_EVERY = 0.3
TOP = 3
PROMISES = {408, 421, 429, 503}
METHOD_BY_KIND = {'one': 'GET', 'once': 'POST', 'all': 'GET'}


@dataclass
class Seen:
    """What became of one request; status 0 if it has no whole answer."""

    request_id: str
    kind: str
    vm: int
    life: int
    began: float
    ended: float = 0
    status: int = 0
    error: str = ''


class Balancer:
    """Sends callers to VMs that said lately that they are ready."""

    def __init__(self, world, stopping):
        self._world = world
        self._misses = dict.fromkeys(range(len(world.vms)), 9)
        self._stopping = stopping
        for vm in world.vms:
            threading.Thread(target=self._watch, args=(vm,)).start()

    def ready(self):
        """Return the VMs in rotation."""
        return [vm for vm in self._world.vms if self._misses[vm.number] < 2]

    def _watch(self, vm):
        while not self._stopping.wait(ASK_EVERY):
            status = self._ask(vm)
            missed = self._misses[vm.number] + 1
            self._misses[vm.number] = 0 if status == 200 else missed

    def _ask(self, vm):
        connection = http.client.HTTPConnection(vm.ip, READY, timeout=0.5)
        try:
            connection.request('GET', '/v1/readiness')
            return connection.getresponse().status
        except (OSError, http.client.HTTPException):
            return 0
        finally:
            connection.close()


class Caller:
    """One caller: a request after the other, some on a kept connection."""

    numbers = itertools.count()

    def __init__(self, world, balancer, seed, failures):
        self.seen = []
        self._world = world
        self._balancer = balancer
        self._source = random.Random(seed)
        self._failures = failures
        self._connection = None
        self._vm = None

    def run(self, stopping):
        """Call until told to stop."""
        while not stopping.wait(self._source.uniform(0.005, 0.03)):
            if self._connection is None:
                ready = self._balancer.ready()
                if not ready:
                    continue
                self._vm = self._source.choice(ready)
                self._connection = http.client.HTTPConnection(
                    *self._vm.front,
                    timeout=TIMEOUT,
                )
            self._call()
        self._hang_up()

    def _call(self):
        kind = self._source.choice(('one', 'once', 'all'))
        request_id = f'{kind}-{next(self.numbers)}-{id(self)}'
        vm = self._vm
        seen = Seen(request_id, kind, vm.number, vm.life, time.monotonic())
        self.seen.append(seen)
        try:
            self._exchange(seen)
        except (OSError, http.client.HTTPException) as error:
            seen.error = repr(error)
            self._hang_up()
        seen.ended = time.monotonic()
        if self._source.random() < 0.5:
            self._hang_up()

    def _exchange(self, seen):
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
            self._hang_up()
        if response.status == 200:
            wrong = self._wrong(seen, response, body)
            if wrong:
                self._failures.append(f'{seen}: {wrong}')

    def _wrong(self, seen, response, body):
        """Return what is wrong with a success, or an empty text."""
        if seen.kind == 'all':
            return self._wrong_merge(seen, response, body)
        signature = response.getheader('Server-Stamp') or ''
        searcher, _, request_id = signature.rpartition('.')
        if request_id != seen.request_id:
            return f'the answer to another request: {signature}'
        return '' if body == self._body_of(searcher) else 'not the whole body'

    def _wrong_merge(self, seen, response, body):
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
        bodies = [self._body_of(searcher) for searcher, *_ in named]
        return (
            ''
            if body == merge_records(bodies, TOP)
            else 'not the greatest records'
        )

    def _body_of(self, searcher_id):
        for searcher in self._world.searchers:
            if searcher.searcher_id == searcher_id:
                return searcher.body
        return b''

    def _hang_up(self):
        if self._connection is not None:
            self._connection.close()
            self._connection = None
