"""Tests of when a request stops waiting for further replies."""

import dataclasses

import pytest

from basilwall.forwarding.completion import (
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
TRANSFER_SECONDS = 0.01
TARGET_LATENCY = 0.15
TIMEOUT = 2.0
BEFORE_TARGET = START + TARGET_LATENCY - TRANSFER_SECONDS - 0.001
AT_TARGET = START + TARGET_LATENCY - TRANSFER_SECONDS
SHARDS = tuple(f's{number}' for number in range(10))


def call():
    return Call(b'GET', b'/a/', 'host', b'1', b'', b'', START, START + 5)


def route(min_share=0.89):
    return Route(
        'r',
        'host',
        b'/a/',
        RetrySafety.IDEMPOTENT,
        2,
        TIMEOUT,
        TARGET_LATENCY,
        0,
        scatter_gather=ScatterGather(SHARDS, 5, min_share),
    )


def subrequests(answered, lost=0):
    created = [SubRequest(name, 0) for name in SHARDS]
    for subrequest in created[: answered + lost]:
        subrequest.has_ended = True
    for subrequest in created[:answered]:
        subrequest.success = Reply('i', 200, b'', (), b'', b'd', True, False)
    return created


def is_complete_at(answered, lost, now, min_share=0.89):
    tested_route = route(min_share)
    policy = ScatterCompletion(
        call(), tested_route, tested_route.scatter_gather
    )
    return policy.is_complete(subrequests(answered, lost), now)


@pytest.mark.parametrize(
    ('answered', 'lost', 'now', 'expected'),
    [
        (10, 0, START, True),
        (9, 1, START, True),
        (9, 0, BEFORE_TARGET, False),
        (9, 0, AT_TARGET, True),
        (8, 0, AT_TARGET, False),
        (8, 0, START + TIMEOUT, True),
        # Two of ten shards are lost and nine are needed: no answer is possible.
        (3, 2, START, True),
        (3, 1, START, False),
    ],
)
def test_complete_as_soon_as_waiting_can_not_improve_the_answer(
    answered,
    lost,
    now,
    expected,
):
    assert is_complete_at(answered, lost, now) == expected


@pytest.mark.parametrize(
    ('min_share', 'count', 'needed'),
    [(0.9, 10, 9), (0.89, 10, 9), (0.75, 10, 8), (0, 10, 1), (1, 3, 3)],
)
def test_min_shards(min_share, count, needed):
    assert min_shards(ScatterGather(SHARDS[:count], 5, min_share)) == needed


@pytest.mark.parametrize('kind', [SingleCompletion, ScatterCompletion])
def test_the_answer_is_sent_before_the_caller_gives_up(kind):
    impatient_call = dataclasses.replace(call(), expires_at=START + 1)
    tested_route = route()
    extra_arguments = (
        () if kind is SingleCompletion else (tested_route.scatter_gather,)
    )
    policy = kind(impatient_call, tested_route, *extra_arguments)
    pending = subrequests(0)
    assert not policy.is_complete(pending, START + 1 - 2 * TRANSFER_SECONDS)
    assert policy.is_complete(pending, START + 1 - TRANSFER_SECONDS)


def test_a_slow_vm_begins_an_answer_early_enough_to_return_it_in_time():
    tested_route = route()
    policy = ScatterCompletion(
        call(), tested_route, tested_route.scatter_gather, 0.02
    )
    nearly_all = subrequests(9)
    assert not policy.is_complete(nearly_all, AT_TARGET - 0.021)
    assert policy.is_complete(nearly_all, AT_TARGET - 0.019)


def test_a_caller_far_away_is_answered_earlier():
    tested_route = route()
    far_call = dataclasses.replace(call(), transfer_seconds=0.03)
    policy = ScatterCompletion(
        far_call, tested_route, tested_route.scatter_gather
    )
    nearly_all = subrequests(9)
    assert policy.is_complete(nearly_all, AT_TARGET - 0.019)


def test_a_single_request_waits_for_its_reply_or_its_deadline():
    tested_route = Route(
        'r',
        'host',
        b'/a/',
        RetrySafety.IDEMPOTENT,
        2,
        TIMEOUT,
        TARGET_LATENCY,
        0,
        (WeightedService('s', 1),),
    )
    policy = SingleCompletion(call(), tested_route)
    subrequest = SubRequest('s', 0)
    assert not policy.is_complete([subrequest], START + TARGET_LATENCY)
    assert policy.is_complete([subrequest], START + TIMEOUT)
    subrequest.has_ended = True
    assert policy.is_complete([subrequest], START)
