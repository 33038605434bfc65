"""What searchers say in replies: that they leave, that they ask for a rest."""

import time

from basilwall.standin.platform_searcher import Behaviour
from tests.entry_stage import (
    ZONES,
    ask,
    request,
    split,
    staged,
    status_of,
    wait_until,
)


def near(stage, service):
    return stage.searcher_by_id[f'{service}.near']


def reaches(stage, searcher):
    searcher.seen.clear()
    ask(stage.caller, request('/one/a'))
    return any(one.has_run for one in searcher.seen)


def test_a_searcher_that_says_it_leaves_gets_nothing_more(tmp_path):
    with staged(tmp_path) as stage:
        leaving = near(stage, 'single')
        leaving.announced.is_leaving = True
        assert status_of(ask(stage.caller, request('/one/a'))) == 200
        assert len(leaving.seen) == 1
        for number in range(20):
            raw = request('/one/a', request_id=f'id-{number}')
            assert status_of(ask(stage.caller, raw)) == 200
        assert len(leaving.seen) == 1
        stage.list_searcher('single.near', 'single')
        leaving.announced.is_leaving = False
        stage.list_searcher('single.far', 'single', 'draining', 'far')
        wait_until(lambda: reaches(stage, leaving))


def test_a_refusal_by_another_process_at_the_address_says_nothing_of_leaving(
    tmp_path,
):
    with staged(tmp_path) as stage:
        other = near(stage, 'single')
        other.searcher_id, own_id = 'another', other.searcher_id
        other.announced.is_leaving = True
        for number in range(3):
            raw = request('/one/a', request_id=f'id-{number}')
            assert status_of(ask(stage.caller, raw)) == 200
        other.searcher_id, other.announced.is_leaving = own_id, False
        stage.list_searcher('single.far', 'single', 'draining', 'far')
        wait_until(lambda: reaches(stage, other))


def test_a_searcher_that_asks_for_time_gets_nothing_until_then(tmp_path):
    with staged(tmp_path) as stage:
        busy = near(stage, 'single')
        busy.next_behaviours.append(Behaviour.SHED)
        busy.announced.retry_after_seconds = 1.5
        assert status_of(ask(stage.caller, request('/one/a'))) == 200
        end = time.monotonic() + 1.2
        busy.seen.clear()
        far = stage.searcher_by_id['single.far']
        far.behaviour = Behaviour.FAIL
        while time.monotonic() < end:
            ask(stage.caller, request('/one/a'))
            time.sleep(0.05)
        assert not busy.seen
        wait_until(lambda: reaches(stage, busy))


def test_a_request_is_refused_at_once_while_all_searchers_ask_for_time(
    tmp_path,
):
    with staged(tmp_path) as stage:
        searchers = [stage.searcher_by_id[f'single.{zone}'] for zone in ZONES]
        for searcher in searchers:
            searcher.behaviour = Behaviour.SHED
            searcher.announced.retry_after_seconds = 1.5
        refused = ask(stage.caller, request('/one/a'))
        assert status_of(refused) == 503
        assert float(split(refused)[0][b'retry-after']) > 1
        for searcher in searchers:
            searcher.behaviour = Behaviour.ANSWER
            searcher.seen.clear()
        began = time.monotonic()
        answer = ask(stage.caller, request('/one/b'))
        assert status_of(answer) == 503
        assert time.monotonic() - began < 0.3
        assert not any(searcher.seen for searcher in searchers)
        headers, _ = split(answer)
        time.sleep(float(headers[b'retry-after']))
        assert status_of(ask(stage.caller, request('/one/c'))) == 200


def test_a_searcher_that_names_a_limit_gets_no_more(tmp_path):
    with staged(tmp_path) as stage:
        stage.list_searcher('single.far', 'single', 'draining', 'far')
        limited = near(stage, 'single')
        limited.announced.rate_limit = 16
        end = time.monotonic() + 4
        while time.monotonic() < end:
            ask(stage.caller, request('/one/a'))
            time.sleep(0.01)
        # The fleet counts as 8 VMs, so the share of one is 2 a second.
        assert 4 <= len(limited.seen) <= 4 * 2 + 3
        limited.announced.rate_limit = None
        wait_until(lambda: reaches(stage, limited))
        for _ in range(20):
            assert status_of(ask(stage.caller, request('/one/a'))) == 200


def test_a_request_is_refused_at_once_while_all_searchers_are_at_their_limit(
    tmp_path,
):
    with staged(tmp_path) as stage:
        for zone in ZONES:
            stage.searcher_by_id[f'single.{zone}'].announced.rate_limit = 0.5
        statuses = []
        for _ in range(30):
            started_at = time.monotonic()
            answer = ask(stage.caller, request('/one/a'))
            assert time.monotonic() - started_at < 0.5
            statuses.append(status_of(answer))
            assert statuses[-1] == 200 or b'Retry-After: ' in answer
        assert 503 in statuses
