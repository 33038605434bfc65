"""Tests of the handover of ticket outcomes at a planned stop."""

from concurrent.futures import ThreadPoolExecutor
from types import SimpleNamespace

import grpc
import pytest

from basilwall.parts.clock import ManualClock
from basilwall.parts.handovers import Handovers
from basilwall.parts.membership import Member, Membership
from basilwall.parts.ticket_issuer import TicketIssuer
from basilwall.parts.tickets import TicketTable
from basilwall.peer.generated import peer_pb2
from basilwall.peer.handover_messages import handover_from_wire
from basilwall.peer.handover_sender import MAX_ATTEMPTS, HandoverSender
from basilwall.peer.outcomes import outcome_from_wire
from basilwall.records.order import OrderOutcome, OrderReason, OrderState
from tests.processes import wait_until

RAN = OrderOutcome(OrderState.RAN, OrderReason.ANSWERED, b'[1]')
TIMEOUT_SECONDS = 10
TICKET_LIFETIME_SECONDS = 60


class LostCallError(grpc.RpcError):
    """A call without a reply."""

    def code(self):
        return grpc.StatusCode.UNAVAILABLE


class FakeClients:
    """Peers that store handovers, after losing a set number of calls."""

    def __init__(self, clock, addresses):
        self._clock = clock
        self.lost_calls_by_address = {}
        self.kept_by_address = {
            address: Handovers(clock) for address in addresses
        }

    def stub(self, address):
        def hand_over(message, timeout, wait_for_ready):
            if self.lost_calls_by_address.get(address, 0) > 0:
                self.lost_calls_by_address[address] -= 1
                raise LostCallError
            now = self._clock.monotonic()
            kept = self.kept_by_address[address]
            kept.store(handover_from_wire(message, now))

        return SimpleNamespace(HandOver=hand_over)


class Vm:
    """A stopping VM with two peers."""

    def __init__(self):
        self.clock = ManualClock()
        own = Member('a:1', 'i1')
        self.issuer = TicketIssuer(
            'a:1', 'i1', b'k' * 16, self.clock, TICKET_LIFETIME_SECONDS
        )
        self.table = TicketTable(self.issuer, self.clock)
        self.handovers = Handovers(self.clock)
        self.clients = FakeClients(self.clock, ['b:1', 'c:1'])
        membership = Membership(own, self.clock)
        membership.record_contact(Member('b:1', 'i2', leaving=True))
        membership.record_contact(Member('c:1', 'i3'))
        self.stop = HandoverSender(
            membership,
            self.table,
            self.handovers,
            self.clients,
            self.clock,
        ).run

    def claim(self, outcome=None):
        ticket = self.issuer.verify(self.issuer.issue('desk'))
        claim = self.table.claim(ticket, 'mark')
        if outcome is not None:
            self.table.finish(claim.record, outcome)
        return claim.record

    def reported_outcomes(self, ticket):
        return [
            kept.outcome_of(ticket, 'mark')
            for kept in self.clients.kept_by_address.values()
        ]


@pytest.fixture
def vm(monkeypatch):
    monkeypatch.setattr('basilwall.peer.handover_sender.RETRY_PAUSE_SECONDS', 0)
    return Vm()


def test_the_stop_waits_for_running_orders(vm):
    record = vm.claim()
    with ThreadPoolExecutor(1) as pool:
        kept = pool.submit(vm.stop, TICKET_LIFETIME_SECONDS, TIMEOUT_SECONDS)
        wait_until(lambda: vm.table._closed)
        vm.table.finish(record, RAN)
        assert kept.result(TIMEOUT_SECONDS) == 2
    assert vm.reported_outcomes(record.ticket) == [RAN, RAN]


def test_an_order_running_at_the_limit_is_unknown(vm):
    record = vm.claim()
    vm.stop(TICKET_LIFETIME_SECONDS, 0)
    assert {
        outcome.state for outcome in vm.reported_outcomes(record.ticket)
    } == {OrderState.UNKNOWN}


def test_lost_calls_are_retried(vm):
    record = vm.claim(RAN)
    vm.clients.lost_calls_by_address = {'b:1': MAX_ATTEMPTS - 1, 'c:1': 99}
    assert vm.stop(TICKET_LIFETIME_SECONDS, 0) == 1
    reported_outcomes = vm.reported_outcomes(record.ticket)
    assert [outcome.state for outcome in reported_outcomes] == [
        OrderState.RAN,
        OrderState.UNKNOWN,
    ]


def test_received_handovers_are_sent_on(vm):
    record = vm.claim(RAN)
    vm.stop(TICKET_LIFETIME_SECONDS, 0)
    last_vm = Vm()
    last_vm.handovers = vm.clients.kept_by_address['b:1']
    last_vm.stop.__self__._handovers = last_vm.handovers
    last_vm.stop(TICKET_LIFETIME_SECONDS, 0)
    assert last_vm.reported_outcomes(record.ticket) == [RAN, RAN]


def test_an_unused_ticket_passes_to_a_vm_that_keeps_running(vm):
    ticket = vm.issuer.verify(vm.issuer.issue('desk'))
    vm.stop(TICKET_LIFETIME_SECONDS, 0)
    assert {outcome.state for outcome in vm.reported_outcomes(ticket)} == {
        OrderState.NOT_RUN
    }
    successors = {
        kept.successor_of(ticket).owner
        for kept in vm.clients.kept_by_address.values()
    }
    assert successors == {'c:1'}


def test_many_outcomes_are_sent_in_bounded_messages(vm, monkeypatch):
    monkeypatch.setattr(
        'basilwall.peer.handover_messages.MAX_BATCH_BYTES',
        2000,
    )
    records = [vm.claim(RAN) for _ in range(9)]
    large_record = vm.claim(OrderOutcome(RAN.state, RAN.reason, b'x' * 4000))
    vm.stop(TICKET_LIFETIME_SECONDS, 0)
    for record in records:
        assert vm.reported_outcomes(record.ticket) == [RAN, RAN]
    assert (
        vm.reported_outcomes(large_record.ticket)[0].state is OrderState.UNKNOWN
    )
    unclaimed_ticket = vm.issuer.verify(vm.issuer.issue('desk'))
    assert vm.reported_outcomes(unclaimed_ticket)[0].state is OrderState.NOT_RUN


def test_an_unknown_reason_of_a_newer_version_is_accepted():
    message = peer_pb2.ForwardReply(
        state=peer_pb2.ORDER_STATE_RAN,
        reason='newer',
    )
    assert outcome_from_wire(message).state is OrderState.RAN
