"""Requests leave nothing behind that only the cyclic collector would free."""

import gc

import pytest

from basilwall.relaying import relay_test
from basilwall.standin.platform_searcher import Behaviour
from tests.entry_stage import ask, dial, request, staged, wait_until

REQUESTS = 40
#: Threads and pools may make a few cycles of their own.
MAX_CYCLIC_OBJECTS = REQUESTS // 4
#: One request ends a searcher that crashes, so it has no series of them.
BEHAVIOURS = [one for one in Behaviour if one is not Behaviour.CRASH]
#: These are not answered before their deadline.
DEADLINE_MS_BY_BEHAVIOUR = {
    Behaviour.SILENT: 20,
    Behaviour.ENDLESS_BODY: 200,
    Behaviour.ENDLESS_CHUNKS: 200,
}


def cyclic_objects(play):
    """Return how many objects requests leave for the cyclic collector.

    Args:
        play: Makes one request; called with its number.
    """
    for number in range(10):
        play(number)
    gc.collect()
    gc.disable()
    try:
        for number in range(REQUESTS):
            play(number)
        return gc.collect()
    finally:
        gc.enable()


@pytest.mark.parametrize('path', ['/one/a', '/all/a'])
@pytest.mark.parametrize('behaviour', BEHAVIOURS)
def test_a_reply_that_has_ended_is_freed_at_once(tmp_path, behaviour, path):
    with staged(tmp_path) as stage:
        for searcher in stage.searcher_by_id.values():
            searcher.behaviour = behaviour
        deadline_ms = DEADLINE_MS_BY_BEHAVIOUR.get(behaviour, 1500)

        def play(number):
            raw = request(
                path, f'id-{number}', Request_Deadline_Ms=str(deadline_ms)
            )
            ask(stage.caller, raw)

        assert cyclic_objects(play) <= MAX_CYCLIC_OBJECTS


@pytest.mark.parametrize(
    'raw',
    [
        b'nothing of HTTP\r\n\r\n',
        b'GET / HTTP/1.1\r\nHost: a\x01b\r\n\r\n',
        request('/none/a'),
        request('/one/a', method='POST', body=b'x' * 70_000),
        request('/one/a', X_More='x' * 5000),
        request('/one/a', method='POST', body=b'x' * 60_000),
    ],
    ids=[
        'no request',
        'malformed',
        'no route',
        'long body',
        'long head',
        'body',
    ],
)
def test_a_request_that_has_ended_is_freed_at_once(tmp_path, raw):
    with staged(tmp_path) as stage:
        found = cyclic_objects(lambda _: ask(stage.caller, raw))
    assert found <= MAX_CYCLIC_OBJECTS


@pytest.mark.parametrize('path', ['/one/a', '/all/a'])
def test_a_request_whose_caller_has_left_is_freed_at_once(tmp_path, path):
    with staged(tmp_path) as stage:
        for searcher in stage.searcher_by_id.values():
            searcher.behaviour = Behaviour.SILENT

        def play(number):
            with dial(stage.caller) as caller:
                caller.sendall(request(path, f'id-{number}'))
            wait_until(lambda: not stage.vm.ingress.connections)

        assert cyclic_objects(play) <= MAX_CYCLIC_OBJECTS


@pytest.mark.parametrize(
    'answer',
    [
        relay_test.answer(200, 1),
        relay_test.NOT_TAKEN,
        relay_test.CLOSES,
        b'nothing of HTTP\r\n\r\n',
    ],
    ids=['answered', 'not taken', 'cut', 'invalid'],
)
def test_a_relayed_request_that_has_ended_is_freed_at_once(answer):
    with relay_test.relay_to(answer) as (relay, _):
        found = cyclic_objects(lambda _: relay_test.serve(relay))
    assert found <= MAX_CYCLIC_OBJECTS
