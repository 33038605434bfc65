"""The whole path over separate processes, for both users' tables."""

import json
import signal
import threading
from concurrent.futures import ThreadPoolExecutor

import pytest

from basilwall.standin.deployment import SHAPES_BY_DEPLOYMENT
from tests.processes import PATIENCE, deployment, wait_until


@pytest.mark.parametrize('name', sorted(SHAPES_BY_DEPLOYMENT))
def test_queries_and_orders_of_every_service(name, tmp_path):
    with deployment(name, tmp_path) as made:
        for shape in SHAPES_BY_DEPLOYMENT[name]:
            for number, vm in enumerate(made.vms):
                _check_query(vm, shape, number)
            _check_order(made, shape)
        ran = made.records('order')
        assert len(ran) == len(SHAPES_BY_DEPLOYMENT[name])


def _check_query(vm, shape, number):
    body = json.dumps({'token': f'{shape.name}/{number}'}).encode()
    reply = vm.call(
        f'/v1/services/{shape.name}/query',
        body,
        {'Request-Timeout-Ms': '5000'},
    )
    assert reply.status == 200
    answer = reply.json()
    assert answer['coverage']['complete']
    assert answer['coverage']['total'] == shape.instances
    assert {one['snapshot'] for one in answer['results']} == {'s1'}
    assert len(answer['results']) == shape.instances
    assert all(one['echo'] == json.loads(body) for one in answer['results'])


def _check_order(made, shape):
    path = f'/v1/services/{shape.name}/orders'
    body = json.dumps({'order': shape.name}).encode()
    refused = made.vms[0].call(path, body)
    assert refused.status == 428
    assert refused.json()['outcome'] == 'not_run'
    headers = {'Idempotency-Key': refused.json()['ticket']}
    for vm in reversed(made.vms):
        reply = vm.call(path, body, headers)
        assert reply.status == 200, reply.body
        assert reply.json()['outcome'] == 'ran'


def test_a_planned_stop_cuts_off_nothing(tmp_path):
    # The first signal holds the stop back, the second one lets it go on.
    stop = {'balancer_lag_s': PATIENCE, 'limit_s': 6}
    with deployment('qasr-al-jamr', tmp_path, service_ms=20, stop=stop) as made:
        leaving, staying = made.vms
        path = '/v1/services/depot-desk/query'
        has_left_balancer = threading.Event()
        answered = []

        def caller():
            while True:
                try:
                    reply = leaving.call(path, headers={'Request-Class': 'x'})
                except ConnectionRefusedError:
                    assert has_left_balancer.is_set()
                    return
                answered.append(reply.status)

        with ThreadPoolExecutor(4) as pool:
            calls = [pool.submit(caller) for _ in range(4)]
            wait_until(lambda: len(answered) > 20)
            leaving.signal(signal.SIGTERM)
            wait_until(lambda: not leaving.is_ready())
            has_left_balancer.set()
            leaving.signal(signal.SIGTERM)
            for call in calls:
                call.result()
        assert set(answered) <= {200, 503, 504}
        assert leaving.process.wait(timeout=20) == 0
        assert staying.is_ready()
