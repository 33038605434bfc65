"""Orders over separate processes while their owner is killed or stopped.

What ran is read from the searchers' own records.
"""

import contextlib
import json
import signal
import threading
from collections import Counter
from concurrent.futures import ThreadPoolExecutor

import pytest

from tests.processes import deployment, http_call, wait_until

PATH = '/v1/services/account-view/orders'
NAME = 'qasr-al-jamr'
RESENDS = 200
FINAL = frozenset(('ran', 'not_run'))


def ticket_of(vm):
    """Return a fresh ticket that a VM owns."""
    reply = vm.call('/v1/services/account-view/tickets')
    return reply.json()['ticket']


def send(vm, ticket, body=b'{}', timeout_ms=2000):
    """Send an order and return the reply; only a refusal lacks a result."""
    headers = {
        'Idempotency-Key': ticket,
        'Request-Timeout-Ms': str(timeout_ms),
    }
    reply = vm.call(PATH, body, headers)
    if reply.status in {503, 504}:
        assert int(reply.headers['Retry-After']) >= 1
        assert reply.json()['retry_after_ms'] > 0
    return reply


def slow_down(made, service_ms):
    """Make every searcher of the service take its time."""
    for address in made.searchers()[75:79]:
        made.switch(address, service_ms=service_ms)


def running(made):
    """Return how many requests run on searchers of the service now."""
    return sum(
        http_call(address, 'GET', '/load').json()['running']
        for address in made.searchers()[75:79]
    )


def runs_by_body(made):
    """Return how often each order ran, as the searchers say."""
    return Counter(record['body'] for record in made.records('order'))


@pytest.fixture
def made(tmp_path):
    with deployment(NAME, tmp_path, vms=3) as processes:
        yield processes


def test_the_owner_is_killed_while_the_order_runs(made):
    owner, other, _ = made.vms
    ticket = ticket_of(owner)
    slow_down(made, 1500)
    with ThreadPoolExecutor(1) as pool:
        call = pool.submit(send, other, ticket)
        wait_until(lambda: running(made) == 1)
        owner.signal(signal.SIGKILL)
        told = [call.result()]
    owner.process.wait()
    told.append(send(other, ticket))
    owner.start()
    told += [send(vm, ticket) for vm in made.vms]
    assert {reply.json()['outcome'] for reply in told} == {'unknown'}
    assert sum(runs_by_body(made).values()) <= 1


@pytest.mark.parametrize('begun', [True, False])
def test_the_owner_sleeps_and_wakes_late(made, begun):
    owner, other, third = made.vms
    ticket = ticket_of(owner)
    if begun:
        # Long enough to be seen running on a busy machine.
        slow_down(made, 800)
    with ThreadPoolExecutor(2) as pool:
        calls = []
        if begun:
            calls.append(pool.submit(send, owner, ticket, timeout_ms=1000))
            wait_until(lambda: running(made) == 1)
        owner.signal(signal.SIGSTOP)
        calls.append(pool.submit(send, other, ticket, timeout_ms=1000))
        slept = calls[-1].result()
        assert slept.json()['outcome'] == 'unknown'
        owner.signal(signal.SIGCONT)
        told = [call.result() for call in calls]
    told += [send(vm, ticket) for vm in (third, owner, other)]
    _check_truth(made, told)


def _check_truth(made, told):
    outcomes = [reply.json()['outcome'] for reply in told]
    runs = sum(runs_by_body(made).values())
    assert runs <= 1
    if 'ran' in outcomes:
        assert runs == 1
    if 'not_run' in outcomes:
        assert runs == 0
    assert len(set(outcomes) & FINAL) <= 1


def test_the_owner_stops_by_plan(made):
    owner, other, third = made.vms
    used, unused = ticket_of(owner), ticket_of(owner)
    body = b'{"kilos":40}'
    slow_down(made, 1000)
    with ThreadPoolExecutor(1) as pool:
        call = pool.submit(send, other, used, body)
        wait_until(lambda: running(made) == 1)
        owner.signal(signal.SIGTERM)
        ran = call.result()
    assert owner.process.wait(timeout=20) == 0
    assert ran.json()['outcome'] == 'ran'
    for vm in (other, third):
        again = send(vm, used, body)
        assert again.json()['results'] == ran.json()['results']
        assert send(vm, used, b'{"kilos":41}').status == 422
    replies = [send(vm, unused, b'[1]') for vm in (other, third)]
    assert {reply.json()['outcome'] for reply in replies} == {'not_run'}
    replacements = {reply.json()['ticket'] for reply in replies}
    assert len(replacements) == 1
    replacement = replacements.pop()
    for vm in (third, other):
        assert send(vm, replacement, b'[1]').json()['outcome'] == 'ran'
    assert set(runs_by_body(made).values()) == {1}


class Caller:
    """A plain client that resends until its order's outcome is final."""

    def __init__(self, made, name):
        self._vms = made.vms
        self.name = name
        self.orders = []
        self._turn = 0

    def run(self, ended):
        """Place one order after the other until told to end."""
        while not ended.is_set():
            body = json.dumps({'order': f'{self.name}/{len(self.orders)}'})
            self.orders.append((body, *self._place(body.encode())))

    def _place(self, body):
        ticket = ''
        for _ in range(RESENDS):
            reply = send(self._ready(), ticket, body)
            told = reply.json()
            if told['outcome'] == 'ran':
                return ticket, told['results']
            assert told['outcome'] in {'not_run', 'unknown'}, told
            if told['outcome'] == 'not_run':
                ticket = told.get('ticket', '')
        raise AssertionError(told)

    def _ready(self):
        """Do as the balancer does, which never picks a VM that is not ready."""
        while True:
            self._turn += 1
            vm = self._vms[self._turn % len(self._vms)]
            try:
                if vm.is_ready():
                    return vm
            except OSError:
                continue


def test_a_rolling_restart_under_load_loses_no_order(made):
    ended = threading.Event()
    callers = [Caller(made, number) for number in range(3)]
    with ThreadPoolExecutor(len(callers)) as pool, _ending(ended):
        calls = [pool.submit(caller.run, ended) for caller in callers]
        for vm in made.vms:
            wait_until(lambda: all(caller.orders for caller in callers))
            vm.signal(signal.SIGTERM)
            assert vm.process.wait(timeout=30) == 0
            vm.start()
        ended.set()
        for call in calls:
            call.result(timeout=60)
    orders = [order for caller in callers for order in caller.orders]
    assert runs_by_body(made) == {body: 1 for body, _, _ in orders}
    for body, ticket, results in orders[:: max(len(orders) // 60, 1)]:
        for vm in made.vms:
            _check_told(vm, ticket, body, results)


def _check_told(vm, ticket, body, results):
    """A VM that has just started may say "unknown" until it met its peers."""

    def told():
        return send(vm, ticket, body.encode()).json()

    wait_until(lambda: told()['outcome'] != 'unknown')
    assert told()['results'] == results


@contextlib.contextmanager
def _ending(ended):
    """End the callers also if the test fails."""
    try:
        yield
    finally:
        ended.set()
