"""Ticket issuer and ticket table: an order is dispatched at most once."""

import base64
import threading
from concurrent.futures import ThreadPoolExecutor

import pytest

from basilwall.parts.clock import ManualClock
from basilwall.parts.ticket_issuer import TicketIssuer
from basilwall.parts.tickets import RETENTION_SECONDS, TicketTable
from basilwall.records.order import (
    OrderOutcome,
    OrderReason,
    OrderState,
    Successor,
)

LIFETIME = 60
RAN = OrderOutcome(OrderState.RAN, OrderReason.ANSWERED, b'[1]')


class Vm:
    """The ticket issuer and the ticket table of one VM."""

    def __init__(self, max_records=10):
        self.clock = ManualClock()
        self.issuer = TicketIssuer('a:1', 'i1', b'k' * 16, self.clock, LIFETIME)
        self.table = TicketTable(self.issuer, self.clock, max_records)

    def ticket(self):
        return self.issuer.verify(self.issuer.issue('desk'))

    def run(self, ticket):
        claim = self.table.claim(ticket, 'mark')
        assert claim.is_first
        self.table.finish(claim.record, RAN)


@pytest.fixture
def vm():
    return Vm()


def outcome(claim):
    return claim.refusal or claim.record.future.result(0)


def test_exactly_one_of_concurrent_claims_may_dispatch(vm):
    ticket = vm.ticket()
    together = threading.Barrier(8)

    def copy(_):
        together.wait()
        return vm.table.claim(ticket, 'mark').is_first

    with ThreadPoolExecutor(8) as pool:
        assert sum(pool.map(copy, range(8))) == 1


@pytest.mark.parametrize('body', [b'{"v":2}', b'[1,2]', b'\xff'])
def test_a_signed_ticket_of_another_format_is_invalid(vm, body):
    signed = vm.issuer._sign(body) + body
    assert vm.issuer.verify(base64.urlsafe_b64encode(signed).decode()) is None


@pytest.mark.parametrize('text', ['', 'x', 'ä', '====', 'QUJD' * 20])
def test_an_unsigned_text_is_invalid(vm, text):
    assert vm.issuer.verify(text) is None


def test_a_ticket_with_a_changed_character_is_invalid(vm):
    text = vm.issuer.issue('desk')
    for index, character in enumerate(text.rstrip('=')[:-1]):
        other = 'A' if character != 'A' else 'B'
        assert (
            vm.issuer.verify(text[:index] + other + text[index + 1 :]) is None
        )


def test_wall_clock_steps_do_not_allow_a_second_claim(vm):
    ticket = vm.ticket()
    vm.run(ticket)
    vm.clock.advance(LIFETIME + RETENTION_SECONDS + 1)
    vm.table.claim(vm.ticket(), 'other')
    vm.clock.advance(-LIFETIME - RETENTION_SECONDS - 1)
    claim = vm.table.claim(ticket, 'mark')
    assert not claim.is_first
    assert outcome(claim).state is OrderState.UNKNOWN


def test_an_expired_ticket_is_invalidated_with_one_replacement(vm):
    ticket = vm.ticket()
    vm.clock.advance(LIFETIME + 1)
    original, copy = (outcome(vm.table.claim(ticket, 'mark')) for _ in range(2))
    assert original.state is OrderState.NOT_RUN
    assert original == copy
    vm.clock.advance(-LIFETIME - 1)
    assert not vm.table.claim(ticket, 'mark').is_first


def test_other_content_is_rejected(vm):
    ticket = vm.ticket()
    vm.run(ticket)
    refusal = outcome(vm.table.claim(ticket, 'other'))
    assert refusal.reason is OrderReason.OTHER_CONTENT


def test_a_full_table_refuses_new_tickets_and_keeps_its_records():
    vm = Vm(max_records=1)
    ran, late = vm.ticket(), vm.ticket()
    vm.run(ran)
    assert outcome(vm.table.claim(late, 'mark')).state is OrderState.UNKNOWN
    assert outcome(vm.table.claim(ran, 'mark')) == RAN
    assert len(vm.table) == 1


def test_a_closed_table_returns_the_same_replacement_as_peers(vm):
    ticket = vm.ticket()
    vm.table.close(Successor('b:1', 'i2'))
    copies = {vm.table.claim(ticket, 'mark').refusal for _ in range(2)}
    assert len(copies) == 1
    stopped = copies.pop()
    assert stopped.state is OrderState.NOT_RUN
    assert stopped.replacement == vm.issuer.issue_replacement(
        ticket, 'b:1', 'i2'
    )
    renewed = vm.issuer.verify(stopped.replacement)
    assert (renewed.owner, renewed.incarnation) == ('b:1', 'i2')
    assert len(vm.table) == 0


def test_a_closed_table_answers_unknown_for_evicted_records(vm):
    ticket = vm.ticket()
    vm.run(ticket)
    vm.clock.advance(LIFETIME + RETENTION_SECONDS + 1)
    vm.table.claim(vm.ticket(), 'other')
    vm.table.close(None)
    vm.clock.advance(-LIFETIME)
    refusal = outcome(vm.table.claim(ticket, 'mark'))
    assert refusal.state is OrderState.UNKNOWN
