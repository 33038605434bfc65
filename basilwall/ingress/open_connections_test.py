"""Tests of which connection gives way to a new one."""

import socket

import pytest

from basilwall.ingress.open_connections import (
    MIN_WAIT_SECONDS,
    OpenConnections,
    Phase,
)
from basilwall.parts.clock import ManualClock

LIMIT = 3


@pytest.fixture(name='clock')
def _clock():
    return ManualClock()


@pytest.fixture(name='callers')
def _callers():
    pairs = [socket.socketpair() for _ in range(LIMIT + 1)]
    yield [vm for _, vm in pairs]
    for pair in pairs:
        for one in pair:
            one.close()


def fill(callers, clock):
    """Return connections that were opened one after the other."""
    connections = OpenConnections(LIMIT, clock)
    for caller in callers[:LIMIT]:
        assert connections.add(caller)
        clock.advance(MIN_WAIT_SECONDS)
    return connections


def test_the_one_that_waited_longest_gives_way_and_no_request_is_cut_off(
    callers, clock
):
    connections = fill(callers, clock)
    connections.of(callers[0]).enter(Phase.SERVING)
    connections.of(callers[1]).enter(Phase.READING)
    clock.advance(MIN_WAIT_SECONDS)
    assert connections.add(callers[LIMIT])
    giving_way = [connections.of(one).is_giving_way for one in callers]
    assert giving_way == [False, False, True, False]
    connections.discard(callers[2])
    assert len(connections) == LIMIT


def test_a_new_one_is_refused_while_all_serve_or_have_just_begun(
    callers, clock
):
    connections = fill(callers, clock)
    for caller in callers[:2]:
        connections.of(caller).enter(Phase.SERVING)
    connections.of(callers[2]).enter(Phase.READING)
    assert not connections.add(callers[LIMIT])
