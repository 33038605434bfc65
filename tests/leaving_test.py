"""A searcher that leaves, over separate processes."""

import json
import signal
import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from basilwall.document.keys import FLEET_KEY
from basilwall.parts.leaving_searchers import NOTICE_TTL_SECONDS
from tests.processes import deployment, http_call, wait_until

#: From the first sign at any VM to no new work from all, in seconds.
PATIENT = {'Request-Timeout-Ms': '5000'}
NO_WORK_AFTER = 3.0
WATCHED = 2.0
SERVICE = 'depot-desk'
SNAPSHOT = {'Snapshot': 's1', 'Timeout-Ms': '1000'}
QUERY = f'/v1/services/{SERVICE}/query'
ORDERS = f'/v1/services/{SERVICE}/orders'


def arrived(address):
    return http_call(address, 'GET', '/load').json()['arrived']


def leaving_at(vm):
    return set(vm.status()['leaving_searchers'])


@pytest.fixture
def made(tmp_path):
    with deployment('qasr-al-jamr', tmp_path, vms=3) as deployed:
        yield deployed


def place_order(vm):
    ticket = vm.call(ORDERS).json()['ticket']
    return vm.call(ORDERS, headers={'Idempotency-Key': ticket}).json()[
        'outcome'
    ]


def test_one_sign_at_one_vm_stops_the_work_of_all(made):
    searcher = made.searchers()[0]
    made.switch(searcher, leaving=True)
    first = made.vms[0]

    def saw_sign():
        first.call(QUERY)
        return searcher in leaving_at(first)

    wait_until(saw_sign)
    time.sleep(NO_WORK_AFTER)
    assert [leaving_at(vm) for vm in made.vms] == [{searcher}] * 3
    before = arrived(searcher)
    end = time.monotonic() + WATCHED
    with ThreadPoolExecutor(3) as pool:
        while time.monotonic() < end:
            calls = [
                pool.submit(vm.call, QUERY, b'{}', PATIENT) for vm in made.vms
            ]
            for call in calls:
                assert call.result().json()['coverage']['complete']
            assert place_order(made.vms[1]) == 'ran'
    assert arrived(searcher) == before


def test_an_order_shows_the_sign_as_well(made):
    searchers = made.searchers()[:30]
    for searcher in searchers[::3]:
        made.switch(searcher, leaving=True)

    def saw_sign():
        assert place_order(made.vms[0]) == 'ran'
        return bool(leaving_at(made.vms[0]))

    wait_until(saw_sign)


def test_work_in_flight_at_a_leaving_searcher_is_finished(made):
    searchers = made.searchers()[:3]
    for searcher in searchers:
        made.switch(searcher, service_ms=600)
    body = json.dumps({'token': 'in-flight'}).encode()
    with ThreadPoolExecutor(1) as pool:
        slow = pool.submit(
            made.vms[0].call,
            QUERY,
            body,
            PATIENT,
        )
        wait_until(
            lambda: any(
                http_call(one, 'GET', '/load').json()['running']
                for one in searchers
            ),
        )
        for searcher in searchers:
            made.switch(searcher, leaving=True, service_ms=1)
        assert slow.result().json()['coverage']['complete']


def test_the_fleet_list_is_followed_for_as_long_as_it_says(made):
    searcher = made.searchers()[0]
    vms = [{'address': vm.peer} for vm in made.vms]
    listed = {'vms': vms, 'leaving_searchers': [searcher]}
    made.publish(FLEET_KEY, json.dumps(listed).encode())
    wait_until(lambda: all(leaving_at(vm) == {searcher} for vm in made.vms))
    before = arrived(searcher)
    for vm in made.vms:
        for _ in range(5):
            vm.call(QUERY)
    assert arrived(searcher) == before
    made.publish(FLEET_KEY, json.dumps({'vms': vms}).encode())
    wait_until(lambda: not any(leaving_at(vm) for vm in made.vms))

    def works_again():
        made.vms[0].call(QUERY)
        return arrived(searcher) > before

    wait_until(works_again)


def test_a_paused_vm_sends_a_leaving_searcher_nothing_after_it_woke(made):
    searcher = made.searchers()[0]
    sleeper, awake = made.vms[0], made.vms[1]
    sleeper.signal(signal.SIGSTOP)
    made.switch(searcher, leaving=True)

    def saw_sign():
        awake.call(QUERY)
        return searcher in leaving_at(awake)

    wait_until(saw_sign)
    time.sleep(NO_WORK_AFTER)
    sleeper.signal(signal.SIGCONT)
    wait_until(lambda: searcher in leaving_at(sleeper), NO_WORK_AFTER)
    before = arrived(searcher)
    for _ in range(10):
        sleeper.call(QUERY)
    assert arrived(searcher) == before


def test_a_searcher_that_restarts_works_again_at_once(made):
    searcher = made.searchers()[0]
    made.switch(searcher, leaving=True, restart_ms=3000, crash_on='"end"')

    def saw_sign():
        return made.vms[0].call(QUERY) and searcher in leaving_at(made.vms[0])

    wait_until(saw_sign)
    wait_until(lambda: all(searcher in leaving_at(vm) for vm in made.vms))
    made.switch(searcher, leaving=False)
    with pytest.raises(ConnectionError):
        http_call(
            searcher, 'POST', f'/v1/{SERVICE}/x/query', b'"end"', SNAPSHOT
        )
    began = time.monotonic()
    wait_until(lambda: not any(leaving_at(vm) for vm in made.vms))
    assert time.monotonic() - began < NOTICE_TTL_SECONDS / 2
