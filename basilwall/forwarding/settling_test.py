"""When a request to many shards is settled."""

import dataclasses

import pytest

from basilwall.forwarding.leg import Leg
from basilwall.forwarding.settling import (
    WAY_BACK,
    ShardSettling,
    SingleSettling,
    least_shards,
)
from basilwall.records.forwarding import Call, Reply
from basilwall.records.routes import Repeat, Route, Scattering, Share

START = 100.0
AIM = 0.15
LONGEST = 2.0
BEFORE = START + AIM - WAY_BACK - 0.001
IN_TIME = START + AIM - WAY_BACK
SHARDS = tuple(f's{number}' for number in range(10))


def call():
    return Call(b'GET', b'/a/', 'host', b'1', b'', b'', START, START + 5)


def route(least=0.89):
    return Route(
        'r',
        'host',
        b'/a/',
        Repeat.IDEMPOTENT,
        2,
        LONGEST,
        AIM,
        0,
        scattering=Scattering(SHARDS, 5, least),
    )


def legs(answered, lost=0):
    made = [Leg(name, 0) for name in SHARDS]
    for leg in made[: answered + lost]:
        leg.has_ended = True
    for leg in made[:answered]:
        leg.success = Reply('i', 200, b'', (), b'', b'd', True, False)
    return made


def settled(answered, lost, now, least=0.89):
    made = route(least)
    settling = ShardSettling(call(), made, made.scattering)
    return settling.is_settled(legs(answered, lost), now)


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
    assert settled(answered, lost, now) == expected


@pytest.mark.parametrize(
    ('least', 'count', 'needed'),
    [(0.9, 10, 9), (0.89, 10, 9), (0.75, 10, 8), (0, 10, 1), (1, 3, 3)],
)
def test_least_shards(least, count, needed):
    assert least_shards(Scattering(SHARDS[:count], 5, least)) == needed


@pytest.mark.parametrize('kind', [SingleSettling, ShardSettling])
def test_the_final_answer_leaves_while_its_caller_is_there(kind):
    short = dataclasses.replace(call(), expires_at=START + 1)
    made = route()
    others = () if kind is SingleSettling else (made.scattering,)
    settling = kind(short, made, *others)
    waiting = legs(0)
    assert not settling.is_settled(waiting, START + 1 - 2 * WAY_BACK)
    assert settling.is_settled(waiting, START + 1 - WAY_BACK)


def test_a_single_request_waits_for_its_reply_or_its_deadline():
    made = Route(
        'r',
        'host',
        b'/a/',
        Repeat.IDEMPOTENT,
        2,
        LONGEST,
        AIM,
        0,
        (Share('s', 1),),
    )
    settling = SingleSettling(call(), made)
    leg = Leg('s', 0)
    assert not settling.is_settled([leg], START + AIM)
    assert settling.is_settled([leg], START + LONGEST)
    leg.has_ended = True
    assert settling.is_settled([leg], START)
