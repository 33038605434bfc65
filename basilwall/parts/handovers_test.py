"""Outcomes of tickets whose owner has stopped."""

import pytest

from basilwall.parts import handovers as module
from basilwall.parts.clock import ManualClock
from basilwall.parts.handovers import Handover, Handovers
from basilwall.records.order import (
    HandedOverOutcome,
    OrderOutcome,
    OrderReason,
    OrderState,
    Successor,
    Ticket,
)

RAN = HandedOverOutcome(
    'mark',
    OrderOutcome(OrderState.RAN, OrderReason.ANSWERED, b'[1]'),
)
UNKNOWN_OUTCOME = HandedOverOutcome(
    'mark',
    OrderOutcome(OrderState.UNKNOWN, OrderReason.REPLY_LOST),
)
LIFETIME = 100


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def handovers(clock):
    return Handovers(clock)


def make_handover(clock, handed_by_number, total=None, **changes):
    fields = {
        'owner': 'a:1',
        'incarnation': 'i1',
        'handed_by_number': handed_by_number,
        'total': len(handed_by_number) if total is None else total,
        'forgotten_until': 50.0,
        'successor': Successor('b:1', 'i2'),
        'expires_at': clock.monotonic() + LIFETIME,
    }
    return Handover(**(fields | changes))


def state_of(handovers, number, fingerprint='mark', expires_at=60.0):
    ticket = Ticket('desk', 'a:1', 'i1', number, expires_at)
    return handovers.outcome_of(ticket, fingerprint).state


def test_a_complete_handover_tells_outcomes_and_tickets_not_run(
    handovers, clock
):
    assert state_of(handovers, '1') is OrderState.UNKNOWN
    handovers.store(make_handover(clock, {'1': RAN}))
    assert state_of(handovers, '1') is OrderState.RAN
    assert state_of(handovers, '2') is OrderState.NOT_RUN
    assert state_of(handovers, '1', fingerprint='other') is OrderState.REJECTED


def test_a_ticket_that_its_owner_may_have_evicted_is_unknown(handovers, clock):
    handovers.store(make_handover(clock, {'1': RAN}))
    assert state_of(handovers, '2', expires_at=50.0) is OrderState.UNKNOWN


def test_an_incomplete_handover_does_not_tell_absent_tickets(handovers, clock):
    handovers.store(make_handover(clock, {'1': RAN}, total=2))
    assert state_of(handovers, '2') is OrderState.UNKNOWN
    handovers.store(make_handover(clock, {'3': RAN}, total=2))
    assert state_of(handovers, '2') is OrderState.NOT_RUN
    assert state_of(handovers, '1') is OrderState.RAN


@pytest.mark.parametrize(
    'order', [(RAN, UNKNOWN_OUTCOME), (UNKNOWN_OUTCOME, RAN)]
)
def test_a_final_outcome_wins_in_any_order_of_messages(
    handovers,
    clock,
    order,
):
    for handed_outcome in order:
        handovers.store(make_handover(clock, {'1': handed_outcome}))
    assert state_of(handovers, '1') is OrderState.RAN


def test_an_expired_handover_tells_nothing(handovers, clock):
    handovers.store(make_handover(clock, {'1': RAN}))
    clock.advance(LIFETIME)
    assert state_of(handovers, '1') is OrderState.UNKNOWN
    assert state_of(handovers, '2') is OrderState.UNKNOWN
    assert handovers.all_handovers() == []


def test_the_oldest_handover_is_evicted_at_the_size_limit(
    handovers, clock, monkeypatch
):
    one = module.HANDOVER_OVERHEAD_BYTES + module.OUTCOME_OVERHEAD_BYTES
    monkeypatch.setattr(module, 'MAX_BYTES', 3 * one)
    for number in range(4):
        handovers.store(
            make_handover(clock, {'1': RAN}, incarnation=f'i{number}')
        )
    assert [handover.incarnation for handover in handovers.all_handovers()] == [
        'i2',
        'i3',
    ]


def test_many_stops_within_a_tickets_lifetime_lose_no_outcome(handovers, clock):
    handovers.store(make_handover(clock, {'1': RAN}))
    for number in range(200):
        stopped = make_handover(clock, {}, incarnation=f'later-{number}')
        handovers.store(stopped)
    assert state_of(handovers, '1') is OrderState.RAN
