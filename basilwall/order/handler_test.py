"""Tests of the desk on one VM, with a forwarder and a dispatcher that fake."""

import random

import pytest

from basilwall.order.handler import (
    FINGERPRINT_KIND,
    OrderForwarder,
    OrderHandler,
    OrderRequest,
)
from basilwall.order.retry_advice import (
    MAX_JITTER_FACTOR,
    MIN_JITTER_FACTOR,
    with_retry_after,
)
from basilwall.parts.clock import ManualClock
from basilwall.parts.fingerprints import fingerprint
from basilwall.parts.handovers import Handover, Handovers
from basilwall.parts.ticket_issuer import TicketIssuer
from basilwall.parts.tickets import TicketTable
from basilwall.records.order import (
    OrderOutcome,
    OrderReason,
    OrderState,
    Successor,
)

RAN = OrderOutcome(OrderState.RAN, OrderReason.ANSWERED, b'[1]')
SHED = OrderOutcome(OrderState.NOT_RUN, OrderReason.OVERLOADED)
RESTARTED = OrderOutcome(OrderState.UNKNOWN, OrderReason.OWNER_RESTARTED)
RUNNING = OrderOutcome(OrderState.UNKNOWN, OrderReason.STILL_RUNNING)
KEY = b'k' * 16


class FakeForwarder(OrderForwarder):
    """Owners and peers that say what they are told to."""

    def __init__(self):
        self.told = None
        self.heard = None
        self.asked = 0

    def forward(self, request, ticket):
        return self.told

    def ask_peers(self, request):
        self.asked += 1
        return self.heard


class FakeDispatcher:
    """Counts runs."""

    def __init__(self):
        self.outcome = RAN
        self.orders = []

    def dispatch(self, order):
        self.orders.append(order)
        if self.outcome is None:
            raise RuntimeError
        return self.outcome


class Vm:
    """A desk and what stands behind it."""

    def __init__(self, address='a:1', incarnation='i1'):
        self.clock = ManualClock()
        self.mint = TicketIssuer(address, incarnation, KEY, self.clock, 60)
        self.handovers = Handovers(self.clock)
        self.forwarder = FakeForwarder()
        self.dispatcher = FakeDispatcher()
        self.desk = OrderHandler(
            self.mint,
            TicketTable(self.mint, self.clock),
            self.dispatcher,
            self.forwarder,
            self.handovers,
            self.clock,
            random.Random(1),
        )

    def order(self, ticket, body=b'{}', service='desk'):
        deadline = self.clock.monotonic() + 2
        return OrderRequest('r', service, ticket, body, deadline)

    def handle(self, ticket, **changes):
        return self.desk.handle(self.order(ticket, **changes))

    def store(self, incarnation):
        self.handovers.store(
            Handover(
                'a:1',
                incarnation,
                {},
                0,
                0,
                Successor('c:1', 'i3'),
                self.clock.monotonic() + 60,
            ),
        )


@pytest.fixture
def vm():
    return Vm()


def test_no_ticket_no_run(vm):
    outcome = vm.handle('')
    assert outcome.state is OrderState.NOT_RUN
    assert vm.handle(outcome.replacement) == RAN
    assert vm.handle(outcome.replacement) == RAN
    assert len(vm.dispatcher.orders) == 1


def test_what_is_not_a_ticket_for_this_service_is_rejected(vm):
    ticket = vm.mint.issue('desk')
    assert vm.handle('forged').state is OrderState.REJECTED
    assert vm.handle(ticket, service='other').state is OrderState.REJECTED
    assert vm.handle(ticket) == RAN
    other = vm.handle(ticket, body=b'{"kilos": 2}')
    assert other.reason is OrderReason.OTHER_CONTENT


def test_a_failed_dispatch_is_unknown_for_good(vm):
    ticket = vm.mint.issue('desk')
    vm.dispatcher.outcome = None
    with pytest.raises(RuntimeError):
        vm.handle(ticket)
    vm.dispatcher.outcome = RAN
    assert vm.handle(ticket).state is OrderState.UNKNOWN
    assert len(vm.dispatcher.orders) == 1


def test_a_refusal_by_the_owner_burns_the_ticket(vm):
    ticket = vm.mint.issue('desk')
    refused = vm.desk.refuse(vm.order(ticket), OrderReason.OVERLOADED)
    assert refused.state is OrderState.NOT_RUN
    later = vm.handle(ticket)
    assert later.state is OrderState.NOT_RUN
    assert later.replacement == refused.replacement
    assert vm.dispatcher.orders == []
    assert vm.handle(refused.replacement) == RAN


def test_a_refusal_keeps_what_is_known(vm):
    ticket = vm.mint.issue('desk')
    vm.handle(ticket)
    refuse = vm.desk.refuse
    assert refuse(vm.order(ticket), OrderReason.OVERLOADED) == RAN
    begun = vm.mint.issue('desk')
    mark = fingerprint('desk', FINGERPRINT_KIND, b'{}')
    vm.desk.table.claim(vm.mint.verify(begun), mark)
    running = refuse(vm.order(begun), OrderReason.OVERLOADED)
    assert running.state is OrderState.UNKNOWN
    assert running.reason is OrderReason.STILL_RUNNING
    assert running.retry_after_ms


def test_a_refusal_elsewhere_is_unknown(vm):
    ticket = Vm('b:1', 'i2').mint.issue('desk')
    refused = vm.desk.refuse(vm.order(ticket), OrderReason.OVERLOADED)
    assert refused.state is OrderState.UNKNOWN
    assert refused.retry_after_ms


@pytest.mark.parametrize(
    ('told', 'handed', 'heard', 'state', 'asked'),
    [
        (RAN, False, None, OrderState.RAN, 0),
        (SHED, True, RAN, OrderState.NOT_RUN, 0),
        (None, False, None, OrderState.UNKNOWN, 1),
        (None, False, RAN, OrderState.RAN, 1),
        (None, True, RAN, OrderState.NOT_RUN, 0),
        (RESTARTED, False, RAN, OrderState.RAN, 1),
        (RUNNING, False, RAN, OrderState.UNKNOWN, 0),
    ],
)
def test_an_order_of_another_owner(told, handed, heard, state, asked):
    vm, owner = Vm('b:1', 'i2'), Vm()
    vm.forwarder.told, vm.forwarder.heard = told, heard
    if handed:
        vm.store('i1')
    outcome = vm.handle(owner.mint.issue('desk'))
    assert outcome.state is state
    assert vm.forwarder.asked == asked
    assert vm.dispatcher.orders == []


def test_an_earlier_incarnation_is_never_run_for():
    owner, again = Vm(), Vm('a:1', 'i9')
    ticket = owner.mint.issue('desk')
    assert again.handle(ticket).reason is OrderReason.OWNER_RESTARTED
    forwarded = again.desk.handle_forwarded(again.order(ticket))
    assert forwarded.state is OrderState.UNKNOWN
    assert again.dispatcher.orders == []


def test_all_vms_name_one_replacement_for_a_stopped_ticket():
    ticket = Vm().mint.issue('desk')
    told = set()
    for vm in (Vm('b:1', 'i2'), Vm('c:1', 'i3')):
        vm.store('i1')
        told |= {vm.handle(ticket).replacement for _ in range(2)}
    assert len(told) == 1
    assert Vm('c:1', 'i3').handle(told.pop()) == RAN


def test_unknown_and_not_run_say_when_to_come_back_and_spread():
    source = random.Random(1)
    drawn = {
        with_retry_after(RUNNING, source).retry_after_ms for _ in range(99)
    }
    assert len(drawn) > 50
    assert min(drawn) >= 500 * MIN_JITTER_FACTOR
    assert max(drawn) <= 500 * MAX_JITTER_FACTOR
    assert with_retry_after(RAN, source) == RAN
