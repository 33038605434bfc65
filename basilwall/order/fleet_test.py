"""Orders over several VMs against an oracle that counts runs.

Callers resend through any VM while calls are lost, delayed and doubled, VMs
are cut off, paused, killed, stopped by plan and restarted, and their wall
clocks step.
"""

import hashlib
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field
from unittest import mock

import pytest
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from basilwall.order.fleet_fakes_test import (
    LIFETIME,
    PATIENCE,
    SERVICE,
    KilledError,
    Network,
    Searchers,
    Vm,
)
from basilwall.order.handler import OrderRequest
from basilwall.parts.clock import ManualClock
from basilwall.records.order import OrderOutcome, OrderReason, OrderState
from tests.processes import wait_until

ADDRESSES = ('a:1', 'b:1', 'c:1')
MAX_ORDERS = 4
HOLDS = ('held_before', 'held_running')
SENDS = ('answered', 'shed', 'lost_after', 'lost_before')
FORWARDS = ('arrives', 'request_lost', 'reply_lost', 'delayed', 'doubled')
DEADLINE = 2
TROUBLES = ('refuse', 'kill', 'pause_or_wake', 'cut_or_heal', 'step_wall')
SKEWS = (-200, -1, 0, 1, 200)

vms = st.sampled_from(ADDRESSES)
picks = st.integers(0, 30)
sends = st.lists(st.sampled_from(SENDS), max_size=3)


@dataclass
class CallerOrder:
    """One order and all the tickets that its caller was ever told to use."""

    name: str
    tickets: list[str] = field(default_factory=list)
    fresh_by_ticket: dict[str, str] = field(default_factory=dict)


class Fleet(RuleBasedStateMachine):
    """Three VMs, their callers and what befalls them."""

    def __init__(self):
        super().__init__()
        self.pauses = mock.patch(
            'basilwall.peer.handover_sender.RETRY_PAUSE', 0
        )
        self.pauses.start()
        self.clock = ManualClock()
        self.network = Network()
        self.searchers = Searchers()
        self.orders = []
        self.held = []
        self.started = 0
        #: Nothing happened that excuses the loss of an outcome.
        self.unspoilt = True
        #: Nothing but planned stops befalls the fleet.
        self.calm = False
        self.ran_at_by_ticket = {}
        self.pool = ThreadPoolExecutor(8)
        for address in ADDRESSES:
            self._start(address)

    def _start(self, address):
        self.started += 1
        self.network.vm_by_address[address] = Vm(
            address,
            self.started,
            self.clock,
            self.network,
            self.searchers,
        )
        self._gossip()

    def _gossip(self):
        for vm in self._live():
            for other in self._live():
                if self.network.reach(other, vm.address):
                    vm.membership.record_contact(other.membership.own)

    def _live(self):
        return list(self.network.vm_by_address.values())

    def _vm(self, address):
        vm = self.network.vm_by_address.get(address)
        return None if vm is None or vm.paused else vm

    def _send(self, vm, order, ticket):
        request = OrderRequest(
            f'{order.name}|{ticket}',
            SERVICE,
            ticket,
            order.name.encode(),
            self.clock.monotonic() + DEADLINE,
        )
        return self._told(order, request, vm.desk.handle(request))

    def _told(self, order, request, outcome):
        self.searchers.learn(request, outcome)
        if outcome.state is OrderState.NOT_RUN:
            self._replace(order, request.ticket, outcome.replacement)
        elif outcome.state is OrderState.RAN:
            now = self.clock.monotonic()
            self.ran_at_by_ticket.setdefault(request.ticket, now)
        return outcome

    def _replace(self, order, ticket, replacement):
        if not replacement:
            live = next(iter(self._live()), None)
            if live is None:
                return
            replacement = order.fresh_by_ticket.setdefault(
                ticket,
                live.mint.issue(SERVICE),
            )
        if replacement not in order.tickets:
            order.tickets.append(replacement)

    @initialize(address=vms, calm=st.booleans())
    def first_order(self, address, calm):
        self.calm = calm
        self.new_order(address)

    @precondition(lambda fleet: len(fleet.orders) < MAX_ORDERS)
    @rule(address=vms)
    def new_order(self, address):
        vm = self._vm(address)
        if vm is not None:
            order = CallerOrder(f'order-{len(self.orders)}')
            order.tickets.append(vm.mint.issue(SERVICE))
            self.orders.append(order)

    @precondition(lambda fleet: fleet.orders)
    @rule(addresses=st.lists(vms, min_size=1, max_size=3), pick=picks)
    def resend(self, addresses, pick):
        for address in addresses:
            self.send(address, pick, (), 'arrives')

    @precondition(lambda fleet: fleet.orders)
    @rule(
        address=vms,
        pick=picks,
        fates=sends,
        forward=st.sampled_from(FORWARDS),
    )
    def send(self, address, pick, fates, forward):
        vm = self._vm(address)
        if vm is None:
            return
        order, ticket = self._pick(pick)
        self._now(ticket)
        self.searchers.fates = list(fates)
        self.network.fate = forward
        outcome = self._send(vm, order, ticket)
        self.network.fate = 'arrives'
        self.searchers.fates = []
        now = self.clock.monotonic()
        ran_at = self.ran_at_by_ticket.get(ticket, now - LIFETIME)
        must_know = self.unspoilt and now - ran_at < LIFETIME
        if must_know and forward == 'arrives':
            assert outcome.state is OrderState.RAN, outcome

    def _now(self, ticket):
        """Release what is held, so that no copy waits for it in real time."""
        for vm, record, _ in self.held:
            if record == ticket:
                self._release(vm)
                return

    def _pick(self, pick):
        order = self.orders[pick % len(self.orders)]
        place = pick // len(self.orders) % len(order.tickets)
        return order, order.tickets[-1 - place]

    @precondition(lambda fleet: fleet.orders and not fleet.held)
    @rule(address=vms, pick=picks, fate=st.sampled_from(HOLDS))
    def send_and_hold(self, address, pick, fate):
        vm = self._vm(address)
        order, ticket = self._pick(pick)
        if vm is None or vm.mint.verify(ticket).incarnation != vm.incarnation:
            return
        vm.hold.reached.clear()
        vm.hold.go.clear()
        self.searchers.fates = [fate]
        call = self.pool.submit(self._send, vm, order, ticket)
        wait_until(lambda: vm.hold.reached.is_set() or call.done())
        self.searchers.fates = []
        if call.done():
            call.result()
        else:
            self.held.append((vm, ticket, call))

    @precondition(lambda fleet: fleet.held)
    @rule()
    def release(self):
        self._release(self.held[0][0])

    def _release(self, vm):
        own = filter(lambda one: one[0] is vm, self.held)
        for held in tuple(own):
            self.held.remove(held)
            vm.hold.go.set()
            error = held[2].exception(PATIENCE)
            if error is not None and not isinstance(error, KilledError):
                raise error

    @precondition(lambda fleet: fleet.held)
    @rule(address=vms)
    def copy_while_it_runs(self, address):
        vm = self._vm(address)
        if vm is None:
            return
        ticket = self.held[0][1]
        order = next(one for one in self.orders if ticket in one.tickets)
        request = OrderRequest(
            f'{order.name}|{ticket}',
            SERVICE,
            ticket,
            order.name.encode(),
            self.clock.monotonic(),
        )
        self._told(order, request, vm.desk.handle(request))

    @precondition(lambda fleet: fleet.network.late)
    @rule(pick=picks)
    def late_arrival(self, pick):
        late = self.network.late
        request, address = late.pop(pick % len(late))
        vm = self._vm(address)
        if vm is not None:
            self._now(request.ticket)
            vm.handle_forwarded(request)

    @rule(
        address=vms,
        graceful=st.sampled_from((True, True, False)),
        lost=st.sampled_from((0, 0, 0, 1, 4)),
        again=st.booleans(),
        pick=picks,
    )
    def planned_stop(self, address, graceful, lost, again, pick):
        vm = self._vm(address)
        if vm is None:
            return
        graceful = graceful or self.calm
        lost = 0 if self.calm else lost
        self._gossip()
        vm.membership.announce_leaving()
        others = [one for one in self._live() if one is not vm]
        if lost or not graceful or not others:
            self.unspoilt = False
        self.network.handovers_lost = lost
        limit = PATIENCE if graceful else 0
        call = self.pool.submit(vm.stop, LIFETIME, limit)
        wait_until(lambda: vm.table._closed)
        if graceful:
            self._release(vm)
        call.result(PATIENCE)
        self.network.handovers_lost = 0
        self._copy_after_handover(vm, pick)
        self.network.vm_by_address.pop(address)
        self._release(vm)
        if again:
            self._start(address)

    def _copy_after_handover(self, stopping, pick):
        awake = [one for one in self._live() if not one.paused]
        others = [one for one in awake if one is not stopping]
        if self.orders and others:
            order, ticket = self._pick(pick)
            self._now(ticket)
            self._send(others[0], order, ticket)

    @rule(pick=picks)
    def rolling_restart(self, pick):
        for address in ADDRESSES:
            self.planned_stop(address, True, 0, True, pick)

    @precondition(lambda fleet: not fleet.calm)
    @rule(address=vms, kind=st.sampled_from(TROUBLES), number=picks)
    def trouble(self, address, kind, number):
        vm = self.network.vm_by_address.get(address)
        if vm is None:
            self._start(address)
            return
        self.unspoilt = self.unspoilt and kind == 'refuse'
        getattr(self, f'_{kind}')(vm, number)

    def _refuse(self, vm, pick):
        if vm.paused or not self.orders:
            return
        order, ticket = self._pick(pick)
        request = OrderRequest('r', SERVICE, ticket, order.name.encode(), 0)
        outcome = vm.desk.refuse(request, OrderReason.OVERLOADED)
        self._told(order, request, outcome)

    def _kill(self, vm, _):
        self.network.vm_by_address.pop(vm.address)
        vm.killed = True
        self._release(vm)

    def _pause_or_wake(self, vm, _):
        vm.paused = not vm.paused

    def _cut_or_heal(self, vm, number):
        other = ADDRESSES[number % len(ADDRESSES)]
        self.network.cut ^= {frozenset((vm.address, other))}

    def _step_wall(self, vm, number):
        vm.clock.skew = SKEWS[number % len(SKEWS)]

    @rule(seconds=st.sampled_from((0.5, 0.5, 1.5, 3, 3, 30, 61, 130)))
    def advance(self, seconds):
        self.clock.advance(seconds)
        self._gossip()

    @invariant()
    def nobody_was_lied_to(self):
        assert not self.searchers.faults, self.searchers.faults

    def teardown(self):
        for vm, _, _ in tuple(self.held):
            self._release(vm)
        self.pool.shutdown()
        self.pauses.stop()


class HashedDesk:
    """The way that was ruled out: owner by hash over one's own fleet list."""

    def __init__(self, vm, network):
        self.listed = set(ADDRESSES)
        self.vm = vm
        self.network = network
        self.outcome_by_ticket = {}

    def handle(self, request):
        owner = max(
            self.listed,
            key=lambda one: hashlib.sha256(
                f'{one}/{request.ticket}'.encode(),
            ).digest(),
        )
        if owner == self.vm.address:
            return self.handle_forwarded(request)
        vm = self.network.reach(self.vm, owner)
        if vm is None:
            return OrderOutcome(
                OrderState.UNKNOWN,
                OrderReason.OWNER_UNREACHABLE,
            )
        return vm.desk.handle_forwarded(request)

    def handle_forwarded(self, request):
        if request.ticket not in self.outcome_by_ticket:
            ran = self.vm.searchers.run(request)
            self.outcome_by_ticket[request.ticket] = OrderOutcome(
                OrderState.RAN,
                OrderReason.ANSWERED,
                ran,
            )
        return self.outcome_by_ticket[request.ticket]


class HashedFleet(Fleet):
    """The same fleet and callers with the other way; nobody is killed."""

    def _start(self, address):
        super()._start(address)
        vm = self.network.vm_by_address[address]
        vm.desk = HashedDesk(vm, self.network)

    @rule(address=vms, listed=st.sets(vms, min_size=1))
    def see_list(self, address, listed):
        vm = self._vm(address)
        if vm is not None:
            vm.desk.listed = listed

    def send_and_hold(self):
        """Leave out what needs tickets."""

    planned_stop = send_and_hold
    rolling_restart = send_and_hold
    trouble = send_and_hold


TestFleet = Fleet.TestCase


def test_an_owner_by_hash_over_a_stale_list_runs_twice():
    quick = settings(phases=[Phase.generate])
    with pytest.raises(AssertionError, match='ran twice'):
        run_state_machine_as_test(HashedFleet, settings=quick)
