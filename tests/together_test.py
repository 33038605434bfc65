"""Two failures at a time over separate processes, under load.

The failures are drawn by a fixed seed; TOGETHER_SEED and TOGETHER_ROUNDS in
the environment change it and make the run longer. The oracle is what the
searchers themselves recorded.
"""

import http.client
import itertools
import json
import os
import random
import signal
import threading
import time
from collections import Counter
from concurrent.futures import ThreadPoolExecutor
from contextlib import ExitStack, contextmanager, suppress
from dataclasses import dataclass, field

from tests.forwarder import Forwarder
from tests.processes import deployment, http_call, wait_until

SEED = int(os.environ.get('TOGETHER_SEED', '7'))
ROUNDS = int(os.environ.get('TOGETHER_ROUNDS', '6'))
SERVICE = '/v1/services/depot-desk'
PATIENT = {'Request-Timeout-Ms': '1000'}
HOLD = 1.0
CALLERS = 3
CRASH = 'crash-7f'


@dataclass
class Load:
    """What callers sent, and what they were told."""

    made: object
    stopping: threading.Event = field(default_factory=threading.Event)
    queries: list = field(default_factory=list)
    told_by_token: dict = field(default_factory=dict)

    def run(self, caller):
        """Send queries, and an order after every second one."""
        for number in itertools.count():
            if self.stopping.is_set():
                return
            vm = self.made.vms[(caller + number) % len(self.made.vms)]
            token = f'{caller}/{number}'
            with suppress(OSError, http.client.HTTPException):
                self.query(vm, token)
            if number % 2:
                self.order(number, f'order-{token}')
            time.sleep(0.01)

    def query(self, vm, token):
        body = json.dumps({'text': token}).encode()
        path = f'{SERVICE}/query'
        reply = http_call(vm.caller, 'POST', path, body, PATIENT, 2)
        self.queries.append((token, reply.status, reply.json()))

    def order(self, number, token):
        """Send one order to two VMs, the second as a resend."""
        told = self.told_by_token.setdefault(token, [])
        path, ticket = f'{SERVICE}/orders', ''
        body = json.dumps({'text': token}).encode()
        around = itertools.cycle(self.made.vms)
        for vm in itertools.islice(around, number, number + 3):
            headers = {'Idempotency-Key': ticket} | PATIENT if ticket else {}
            with suppress(OSError, http.client.HTTPException):
                reply = http_call(vm.caller, 'POST', path, body, headers, 2)
                answer = reply.json()
                if ticket:
                    told.append(answer['outcome'])
                ticket = ticket or answer.get('ticket', '')


class Failures:
    """Each method makes one failure and, when resumed, undoes it."""

    def __init__(self, made, forwarders, source):
        self.made = made
        self.forwarders = forwarders
        self.source = source
        self.whole = list(made.vms)

    def kill_vm(self):
        vm = self._take_vm()
        vm.signal(signal.SIGKILL)
        vm.process.wait()
        yield
        vm.start()

    def freeze_vm(self):
        vm = self._take_vm()
        vm.signal(signal.SIGSTOP)
        yield
        vm.signal(signal.SIGCONT)

    def stop_vm(self):
        vm = self._take_vm()
        vm.signal(signal.SIGTERM)
        yield
        assert vm.process.wait(timeout=40) == 0
        vm.start()

    def _take_vm(self):
        return self.whole.pop(self.source.randrange(len(self.whole)))

    def cut_vms(self):
        for forwarder in self.forwarders:
            forwarder.cut()
        yield
        for forwarder in self.forwarders:
            forwarder.heal()

    def platform_down(self):
        yield from self._switch_platform(down=True)

    def platform_stale(self):
        yield from self._switch_platform(stale=True)

    def straggler(self):
        searcher = self.source.choice(self.made.searchers()[:30])
        self.made.switch(searcher, straggle=100)
        yield
        self.made.switch(searcher, straggle=1)

    def crashing_query(self):
        body = json.dumps({'text': f'{CRASH}{self.source.random()}'}).encode()
        for vm in self.made.vms * 2:
            with suppress(OSError, http.client.HTTPException):
                http_call(vm.caller, 'POST', f'{SERVICE}/query', body, {}, 1)
        yield

    def cut_replies(self):
        searcher = self.source.choice(self.made.searchers()[:30])
        self.made.switch(searcher, run_then_cut=True)
        yield
        self.made.switch(searcher, run_then_cut=False)

    def _switch_platform(self, **switches):
        address, body = self.made.platform, json.dumps(switches).encode()
        http_call(address, 'PUT', '/switches', body)
        yield
        http_call(address, 'PUT', '/switches', b'{}')


KINDS = sorted(name for name in vars(Failures) if not name.startswith('_'))


@contextmanager
def forwarded(tmp_path):
    """Run three VMs whose peers reach each other through forwarders."""
    with ExitStack() as stack:
        made = stack.enter_context(
            deployment('qasr-al-jamr', tmp_path, vms=3, forwarded=True),
        )
        forwarders = [Forwarder(vm.peer, vm.peer_listen) for vm in made.vms]
        for forwarder in forwarders:
            stack.callback(forwarder.close)
        for address in made.searchers()[:30]:
            made.switch(address, crash_on=CRASH, restart_ms=500)
        for vm in made.vms:
            wait_until(lambda vm=vm: len(vm.status()['vm']['peers']) == 2)
        yield made, forwarders


def check_queries(load):
    answered = [one for one in load.queries if one[1] == 200]
    for token, _, answer in answered:
        coverage, results = answer['coverage'], answer['results']
        assert {one['snapshot'] for one in results} == {answer['snapshot']}
        assert all(one['echo'] == {'text': token} for one in results)
        assert len({one['instance'] for one in results}) == len(results)
        assert coverage['answered'] == len(results)
        missing = {one['instance'] for one in coverage['missing']}
        assert len(missing) + len(results) == coverage['total'] == 10
        assert coverage['complete'] == (not missing)
    return len(answered)


def check_orders(load):
    records = load.made.records('order')
    runs = Counter(json.loads(one['body'])['text'] for one in records)
    assert not [token for token, count in runs.items() if count > 1], runs
    for token, told in load.told_by_token.items():
        if 'ran' in told:
            assert runs[token] == 1, (token, told)
        if 'not_run' in told:
            assert runs[token] == 0, (token, told)
    return Counter(itertools.chain(*load.told_by_token.values()))


def fail_together(made, forwarders, source):
    """Make two failures, hold them for a while and undo both."""
    failures = Failures(made, forwarders, source)
    kinds = source.sample(KINDS, 2)
    print('together:', *kinds)
    running = [getattr(failures, kind)() for kind in kinds]
    for failure in running:
        next(failure)
        time.sleep(source.uniform(0, HOLD))
    time.sleep(HOLD)
    for failure in running:
        next(failure, None)
    time.sleep(HOLD / 2)


def test_two_failures_at_a_time(tmp_path):
    print(f'TOGETHER_SEED={SEED} TOGETHER_ROUNDS={ROUNDS}')
    source = random.Random(SEED)
    with forwarded(tmp_path) as (made, forwarders):
        load = Load(made)
        with ThreadPoolExecutor(CALLERS) as pool:
            callers = [pool.submit(load.run, one) for one in range(CALLERS)]
            try:
                for _ in range(ROUNDS):
                    fail_together(made, forwarders, source)
            finally:
                load.stopping.set()
            for caller in callers:
                caller.result()
        for address in made.searchers()[:30]:
            wait_until(lambda at=address: http_call(at, 'GET', '/load').status)
        answered, told = check_queries(load), check_orders(load)
        print(f'{answered} of {len(load.queries)} queries answered, {told}')
        assert answered > len(load.queries) / 2
        assert told['ran'] > 0
