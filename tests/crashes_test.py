"""A request that crashes each searcher that runs it, sent again and again."""

import itertools
import json
import threading
import time
from concurrent.futures import ThreadPoolExecutor

from tests.processes import deployment, http_call, wait_until

CRASH = 'crash-7f'
RESENDS = 10
QUERY = '/v1/services/depot-desk/query'
ORDERS = '/v1/services/depot-desk/orders'
BODY = json.dumps({'text': CRASH}).encode()
#: Innocents are asked for whole answers, so that a lost part would show.
PATIENT = {'Request-Timeout-Ms': '2000'}


def crashes(made, kind):
    """Return the searchers that say themselves that they crashed."""
    for address in made.searchers():
        wait_until(lambda at=address: http_call(at, 'GET', '/load').status)
    return {
        address
        for address in made.searchers()
        for record in http_call(address, 'GET', '/records').json()
        if record['crashed'] and record['kind'] == kind
    }


def arm(made):
    for address in made.searchers():
        made.switch(address, crash_on=CRASH, restart_ms=1000)


def innocents(made, stop, replies):
    """Send queries, half of them of contents never seen before."""
    for number in itertools.count():
        if stop.is_set():
            return
        text = 'often' if number % 2 else f'{threading.get_ident()}/{number}'
        body = json.dumps({'text': text}).encode()
        vm = made.vms[number % len(made.vms)]
        replies.append((text, vm.call(QUERY, body, PATIENT)))
        time.sleep(0.005)


def wait_for_peers(made):
    others = len(made.vms) - 1
    wait_until(
        lambda: all(
            len(vm.status()['vm']['peers']) == others for vm in made.vms
        ),
    )


def test_ten_resends_of_a_query_lose_two_searchers(tmp_path):
    with deployment('qasr-al-jamr', tmp_path, vms=3) as made:
        arm(made)
        wait_for_peers(made)
        stop, replies = threading.Event(), []
        with ThreadPoolExecutor(3) as pool:
            for _ in range(3):
                pool.submit(innocents, made, stop, replies)
            wait_until(lambda: len(replies) > 20)
            sent = []
            for number in range(RESENDS):
                sent.append(made.vms[number % 3].call(QUERY, BODY))
                time.sleep(min(int(sent[-1].headers['Retry-After']), 1))
            stop.set()
        lost = crashes(made, 'query')
        refused = [reply for _, reply in replies if reply.status != 200]
        print(f'lost {len(lost)}, innocents {len(replies)}')
        assert 1 <= len(lost) <= 2
        assert not refused, [reply.body for reply in refused]
        _check_final_answers(sent)


def _check_final_answers(sent):
    assert {reply.status for reply in sent} <= {503, 504}
    assert all(int(reply.headers['Retry-After']) >= 1 for reply in sent)
    assert sent[0].json()['outcome'] == 'unknown'
    last = sent[-1].json()
    assert last['outcome'] == 'not_run'
    assert last['reason'] == 'quarantined'


def test_all_vms_at_once_lose_three_searchers_at_most(tmp_path):
    with deployment('qasr-al-jamr', tmp_path, vms=3) as made:
        arm(made)
        wait_for_peers(made)
        for _ in range(3):
            with ThreadPoolExecutor(9) as pool:
                calls = [
                    pool.submit(vm.call, QUERY, BODY) for vm in made.vms * 3
                ]
                assert {call.result().status for call in calls} <= {503, 504}
        lost = crashes(made, 'query')
        print(f'lost {len(lost)}')
        assert len(lost) <= 3


def test_an_order_that_crashes_is_never_sent_again(tmp_path):
    with deployment('qasr-al-jamr', tmp_path, vms=3) as made:
        arm(made)
        wait_for_peers(made)
        told = []
        for number in range(RESENDS):
            vm = made.vms[number % 3]
            ticket = vm.call(ORDERS, BODY).json()['ticket']
            headers = {'Idempotency-Key': ticket}
            reply = vm.call(ORDERS, BODY, headers)
            told.append((reply.json()['outcome'], reply.json()['reason']))
            again = made.vms[(number + 1) % 3].call(ORDERS, BODY, headers)
            assert again.json()['outcome'] == told[-1][0]
            time.sleep(min(int(reply.headers['Retry-After']), 1))
        assert told == [('unknown', 'reply_lost')] * 2 + [
            ('not_run', 'quarantined'),
        ] * (RESENDS - 2)
        assert len(crashes(made, 'order')) == 2
        ids = [record['request_id'] for record in made.records('order')]
        assert len(ids) == len(set(ids)) == 2
