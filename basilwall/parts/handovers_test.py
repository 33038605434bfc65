"""Tests of what is said of the tickets of stopped VMs."""

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
OPEN = HandedOverOutcome(
    'mark',
    OrderOutcome(OrderState.UNKNOWN, OrderReason.REPLY_LOST),
)
KEEP = 100


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def handovers(clock):
    return Handovers(clock)


def left(clock, handed_by_number, total=None, **changes):
    fields = {
        'owner': 'a:1',
        'incarnation': 'i1',
        'handed_by_number': handed_by_number,
        'total': len(handed_by_number) if total is None else total,
        'forgotten_until': 50.0,
        'successor': Successor('b:1', 'i2'),
        'expires_at': clock.monotonic() + KEEP,
    }
    return Handover(**(fields | changes))


def state(handovers, number, mark='mark', expires_at=60.0):
    ticket = Ticket('desk', 'a:1', 'i1', number, expires_at)
    return handovers.outcome_of(ticket, mark).state


def test_an_outcome_is_told_and_an_absent_ticket_did_not_run(handovers, clock):
    assert state(handovers, '1') is OrderState.UNKNOWN
    handovers.store(left(clock, {'1': RAN}))
    assert state(handovers, '1') is OrderState.RAN
    assert state(handovers, '2') is OrderState.NOT_RUN
    assert state(handovers, '1', mark='other') is OrderState.REJECTED


def test_a_ticket_that_its_owner_forgot_is_not_called_not_run(handovers, clock):
    handovers.store(left(clock, {'1': RAN}))
    assert state(handovers, '2', expires_at=50.0) is OrderState.UNKNOWN


def test_a_part_of_the_outcomes_proves_nothing_of_absent_ones(handovers, clock):
    handovers.store(left(clock, {'1': RAN}, total=2))
    assert state(handovers, '2') is OrderState.UNKNOWN
    handovers.store(left(clock, {'3': RAN}, total=2))
    assert state(handovers, '2') is OrderState.NOT_RUN
    assert state(handovers, '1') is OrderState.RAN


@pytest.mark.parametrize('order', [(RAN, OPEN), (OPEN, RAN)])
def test_late_and_early_messages_leave_the_final_outcome(
    handovers,
    clock,
    order,
):
    for handed in order:
        handovers.store(left(clock, {'1': handed}))
    assert state(handovers, '1') is OrderState.RAN


def test_an_expired_handover_says_nothing(handovers, clock):
    handovers.store(left(clock, {'1': RAN}))
    clock.advance(KEEP)
    assert state(handovers, '1') is OrderState.UNKNOWN
    assert state(handovers, '2') is OrderState.UNKNOWN
    assert handovers.all_handovers() == []


def test_the_oldest_is_forgotten_at_the_cap(handovers, clock, monkeypatch):
    monkeypatch.setattr(module, 'MAX_BYTES', 3 * module.OUTCOME_OVERHEAD_BYTES)
    for number in range(4):
        handovers.store(left(clock, {'1': RAN}, incarnation=f'i{number}'))
    assert [one.incarnation for one in handovers.all_handovers()] == [
        'i2',
        'i3',
    ]
