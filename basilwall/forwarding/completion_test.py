"""When a request to many shards is settled."""

import dataclasses

import pytest

from basilwall.forwarding.completion import (
    RETURN_MARGIN_SECONDS,
    ScatterCompletion,
    SingleCompletion,
    min_shards,
)
from basilwall.forwarding.subrequest import SubRequest
from basilwall.records.forwarding import Call, Reply
from basilwall.records.routes import (
    RetrySafety,
    Route,
    ScatterGather,
    WeightedService,
)

START = 100.0
AIM = 0.15
LONGEST = 2.0
BEFORE = START + AIM - RETURN_MARGIN_SECONDS - 0.001
IN_TIME = START + AIM - RETURN_MARGIN_SECONDS
SHARDS = tuple(f's{number}' for number in range(10))


def call():
    return Call(b'GET', b'/a/', 'host', b'1', b'', b'', START, START + 5)


def route(least=0.89):
    return Route(
        'r',
        'host',
        b'/a/',
        RetrySafety.IDEMPOTENT,
        2,
        LONGEST,
        AIM,
        0,
        scatter_gather=ScatterGather(SHARDS, 5, least),
    )


def subrequests(answered, lost=0):
    made = [SubRequest(name, 0) for name in SHARDS]
    for subrequest in made[: answered + lost]:
        subrequest.has_ended = True
    for subrequest in made[:answered]:
        subrequest.success = Reply('i', 200, b'', (), b'', b'd', True, False)
    return made


def is_complete_at(answered, lost, now, least=0.89):
    made = route(least)
    policy = ScatterCompletion(call(), made, made.scatter_gather)
    return policy.is_complete(subrequests(answered, lost), now)


@pytest.mark.parametrize(
    ('answered', 'lost', 'now', 'expected'),
    [
        (10, 0, START, True),
        (9, 1, START, True),
        (9, 0, BEFORE, False),
        (9, 0, IN_TIME, True),
        (8, 0, IN_TIME, False),
        (8, 0, START + LONGEST, True),
        # Two are lost of ten, and nine are needed: nothing can come of it.
        (3, 2, START, True),
        (3, 1, START, False),
    ],
)
def test_settled_as_soon_as_waiting_is_worth_nothing(
    answered,
    lost,
    now,
    expected,
):
    assert is_complete_at(answered, lost, now) == expected


@pytest.mark.parametrize(
    ('least', 'count', 'needed'),
    [(0.9, 10, 9), (0.89, 10, 9), (0.75, 10, 8), (0, 10, 1), (1, 3, 3)],
)
def test_least_shards(least, count, needed):
    assert min_shards(ScatterGather(SHARDS[:count], 5, least)) == needed


@pytest.mark.parametrize('kind', [SingleCompletion, ScatterCompletion])
def test_the_final_answer_leaves_while_its_caller_is_there(kind):
    short = dataclasses.replace(call(), expires_at=START + 1)
    made = route()
    others = () if kind is SingleCompletion else (made.scatter_gather,)
    policy = kind(short, made, *others)
    waiting = subrequests(0)
    assert not policy.is_complete(
        waiting, START + 1 - 2 * RETURN_MARGIN_SECONDS
    )
    assert policy.is_complete(waiting, START + 1 - RETURN_MARGIN_SECONDS)


def test_a_single_request_waits_for_its_reply_or_its_deadline():
    made = Route(
        'r',
        'host',
        b'/a/',
        RetrySafety.IDEMPOTENT,
        2,
        LONGEST,
        AIM,
        0,
        (WeightedService('s', 1),),
    )
    policy = SingleCompletion(call(), made)
    subrequest = SubRequest('s', 0)
    assert not policy.is_complete([subrequest], START + AIM)
    assert policy.is_complete([subrequest], START + LONGEST)
    subrequest.has_ended = True
    assert policy.is_complete([subrequest], START)
