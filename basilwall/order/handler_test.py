"""Tests of the order handler of one VM with a fake forwarder and dispatcher."""

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
    """Returns the prepared outcomes of the owner and of the peers."""

    def __init__(self):
        self.owner_outcome = None
        self.peer_outcome = None
        self.ask_count = 0

    def forward(self, request, ticket):
        return self.owner_outcome

    def ask_peers(self, request):
        self.ask_count += 1
        return self.peer_outcome


class FakeDispatcher:
    """Records the dispatched orders."""

    def __init__(self):
        self.outcome = RAN
        self.orders = []

    def dispatch(self, order):
        self.orders.append(order)
        if self.outcome is None:
            raise RuntimeError
        return self.outcome


class Vm:
    """An order handler and its collaborators."""

    def __init__(self, address='a:1', incarnation='i1'):
        self.clock = ManualClock()
        self.issuer = TicketIssuer(address, incarnation, KEY, self.clock, 60)
        self.handovers = Handovers(self.clock)
        self.forwarder = FakeForwarder()
        self.dispatcher = FakeDispatcher()
        self.order_handler = OrderHandler(
            self.issuer,
            TicketTable(self.issuer, self.clock),
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
        return self.order_handler.handle(self.order(ticket, **changes))

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


def test_an_order_without_a_ticket_does_not_run(vm):
    outcome = vm.handle('')
    assert outcome.state is OrderState.NOT_RUN
    assert vm.handle(outcome.replacement) == RAN
    assert vm.handle(outcome.replacement) == RAN
    assert len(vm.dispatcher.orders) == 1


def test_an_invalid_ticket_is_rejected(vm):
    ticket = vm.issuer.issue('desk')
    assert vm.handle('forged').state is OrderState.REJECTED
    assert vm.handle(ticket, service='other').state is OrderState.REJECTED
    assert vm.handle(ticket) == RAN
    other = vm.handle(ticket, body=b'{"kilos": 2}')
    assert other.reason is OrderReason.OTHER_CONTENT


def test_the_outcome_of_a_failed_dispatch_stays_unknown(vm):
    ticket = vm.issuer.issue('desk')
    vm.dispatcher.outcome = None
    with pytest.raises(RuntimeError):
        vm.handle(ticket)
    vm.dispatcher.outcome = RAN
    assert vm.handle(ticket).state is OrderState.UNKNOWN
    assert len(vm.dispatcher.orders) == 1


def test_a_refusal_by_the_owner_invalidates_the_ticket(vm):
    ticket = vm.issuer.issue('desk')
    refused = vm.order_handler.refuse(vm.order(ticket), OrderReason.OVERLOADED)
    assert refused.state is OrderState.NOT_RUN
    later = vm.handle(ticket)
    assert later.state is OrderState.NOT_RUN
    assert later.replacement == refused.replacement
    assert vm.dispatcher.orders == []
    assert vm.handle(refused.replacement) == RAN


def test_a_refusal_does_not_replace_a_known_outcome(vm):
    ticket = vm.issuer.issue('desk')
    vm.handle(ticket)
    refuse = vm.order_handler.refuse
    assert refuse(vm.order(ticket), OrderReason.OVERLOADED) == RAN
    running_ticket = vm.issuer.issue('desk')
    order_fingerprint = fingerprint('desk', FINGERPRINT_KIND, b'{}')
    vm.order_handler.table.claim(
        vm.issuer.verify(running_ticket), order_fingerprint
    )
    running = refuse(vm.order(running_ticket), OrderReason.OVERLOADED)
    assert running.state is OrderState.UNKNOWN
    assert running.reason is OrderReason.STILL_RUNNING
    assert running.retry_after_ms


def test_a_refusal_by_another_vm_is_unknown(vm):
    ticket = Vm('b:1', 'i2').issuer.issue('desk')
    refused = vm.order_handler.refuse(vm.order(ticket), OrderReason.OVERLOADED)
    assert refused.state is OrderState.UNKNOWN
    assert refused.retry_after_ms


@pytest.mark.parametrize(
    ('owner_outcome', 'has_handover', 'peer_outcome', 'state', 'ask_count'),
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
def test_an_order_of_another_owner(
    owner_outcome, has_handover, peer_outcome, state, ask_count
):
    vm, owner = Vm('b:1', 'i2'), Vm()
    vm.forwarder.owner_outcome, vm.forwarder.peer_outcome = (
        owner_outcome,
        peer_outcome,
    )
    if has_handover:
        vm.store('i1')
    outcome = vm.handle(owner.issuer.issue('desk'))
    assert outcome.state is state
    assert vm.forwarder.ask_count == ask_count
    assert vm.dispatcher.orders == []


def test_a_ticket_of_an_earlier_incarnation_never_runs():
    owner, restarted = Vm(), Vm('a:1', 'i9')
    ticket = owner.issuer.issue('desk')
    assert restarted.handle(ticket).reason is OrderReason.OWNER_RESTARTED
    forwarded = restarted.order_handler.handle_forwarded(
        restarted.order(ticket)
    )
    assert forwarded.state is OrderState.UNKNOWN
    assert restarted.dispatcher.orders == []


def test_all_vms_return_the_same_replacement_for_a_stopped_owner():
    ticket = Vm().issuer.issue('desk')
    replacements = set()
    for vm in (Vm('b:1', 'i2'), Vm('c:1', 'i3')):
        vm.store('i1')
        replacements |= {vm.handle(ticket).replacement for _ in range(2)}
    assert len(replacements) == 1
    assert Vm('c:1', 'i3').handle(replacements.pop()) == RAN


def test_retry_after_times_are_jittered():
    rng = random.Random(1)
    retry_after_times = {
        with_retry_after(RUNNING, rng).retry_after_ms for _ in range(99)
    }
    assert len(retry_after_times) > 50
    assert min(retry_after_times) >= 500 * MIN_JITTER_FACTOR
    assert max(retry_after_times) <= 500 * MAX_JITTER_FACTOR
    assert with_retry_after(RAN, rng) == RAN
