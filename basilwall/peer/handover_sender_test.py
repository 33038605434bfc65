"""Tests of the handover at a planned stop."""

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
PATIENCE = 10
LIFETIME = 60


class LostCallError(grpc.RpcError):
    """A call without a reply."""

    def code(self):
        return grpc.StatusCode.UNAVAILABLE


class FakeClients:
    """Peers that keep what they are handed, and lose some calls first."""

    def __init__(self, clock, addresses):
        self._clock = clock
        self.losses_by_address = {}
        self.kept_by_address = {one: Handovers(clock) for one in addresses}

    def stub(self, address):
        def hand_over(message, timeout, wait_for_ready):
            if self.losses_by_address.get(address, 0) > 0:
                self.losses_by_address[address] -= 1
                raise LostCallError
            now = self._clock.monotonic()
            kept = self.kept_by_address[address]
            kept.store(handover_from_wire(message, now))

        return SimpleNamespace(HandOver=hand_over)


class Vm:
    """A VM that stops, with two peers."""

    def __init__(self):
        self.clock = ManualClock()
        own = Member('a:1', 'i1')
        self.mint = TicketIssuer('a:1', 'i1', b'k' * 16, self.clock, LIFETIME)
        self.table = TicketTable(self.mint, self.clock)
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
        ticket = self.mint.verify(self.mint.issue('desk'))
        claim = self.table.claim(ticket, 'mark')
        if outcome is not None:
            self.table.finish(claim.record, outcome)
        return claim.record

    def told(self, ticket):
        return [
            kept.outcome_of(ticket, 'mark')
            for kept in self.clients.kept_by_address.values()
        ]


@pytest.fixture
def vm(monkeypatch):
    monkeypatch.setattr('basilwall.peer.handover_sender.RETRY_PAUSE', 0)
    return Vm()


def test_an_order_that_still_runs_is_waited_for(vm):
    record = vm.claim()
    with ThreadPoolExecutor(1) as pool:
        kept = pool.submit(vm.stop, LIFETIME, PATIENCE)
        wait_until(lambda: vm.table._closed)
        vm.table.finish(record, RAN)
        assert kept.result(PATIENCE) == 2
    assert vm.told(record.ticket) == [RAN, RAN]


def test_an_order_that_outlasts_the_limit_is_unknown(vm):
    record = vm.claim()
    vm.stop(LIFETIME, 0)
    assert {one.state for one in vm.told(record.ticket)} == {OrderState.UNKNOWN}


def test_lost_calls_are_made_again(vm):
    record = vm.claim(RAN)
    vm.clients.losses_by_address = {'b:1': MAX_ATTEMPTS - 1, 'c:1': 99}
    assert vm.stop(LIFETIME, 0) == 1
    told = vm.told(record.ticket)
    assert [one.state for one in told] == [OrderState.RAN, OrderState.UNKNOWN]


def test_what_others_left_is_passed_on(vm):
    record = vm.claim(RAN)
    vm.stop(LIFETIME, 0)
    last = Vm()
    last.handovers = vm.clients.kept_by_address['b:1']
    last.stop.__self__._handovers = last.handovers
    last.stop(LIFETIME, 0)
    assert last.told(record.ticket) == [RAN, RAN]


def test_a_ticket_that_never_came_goes_to_one_that_stays(vm):
    ticket = vm.mint.verify(vm.mint.issue('desk'))
    vm.stop(LIFETIME, 0)
    assert {one.state for one in vm.told(ticket)} == {OrderState.NOT_RUN}
    successors = {
        kept.successor_of(ticket).owner
        for kept in vm.clients.kept_by_address.values()
    }
    assert successors == {'c:1'}


def test_many_outcomes_travel_in_bounded_messages(vm, monkeypatch):
    monkeypatch.setattr(
        'basilwall.peer.handover_messages.MAX_BATCH_BYTES',
        2000,
    )
    records = [vm.claim(RAN) for _ in range(9)]
    large = vm.claim(OrderOutcome(RAN.state, RAN.reason, b'x' * 4000))
    vm.stop(LIFETIME, 0)
    for record in records:
        assert vm.told(record.ticket) == [RAN, RAN]
    assert vm.told(large.ticket)[0].state is OrderState.UNKNOWN
    never = vm.mint.verify(vm.mint.issue('desk'))
    assert vm.told(never)[0].state is OrderState.NOT_RUN


def test_a_reason_of_a_newer_version_is_passed_over():
    message = peer_pb2.ForwardReply(
        state=peer_pb2.ORDER_STATE_RAN,
        reason='newer',
    )
    assert outcome_from_wire(message).state is OrderState.RAN
