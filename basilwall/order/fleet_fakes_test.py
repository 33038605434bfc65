"""Small fakes at the interfaces of the desks of several VMs: no tests here.

The network carries forwarded orders and handovers between the real parts and
loses, delays or doubles them as told; the searchers count what they ran.
"""

import random
import threading
from collections import Counter
from types import SimpleNamespace

import grpc

from basilwall.backend.trusting_crash_tracker_test import TrustingCrashTracker
from basilwall.order.dispatch import OrderDispatcher
from basilwall.order.handler import OrderForwarder, OrderHandler
from basilwall.parts.attempt_ids import AttemptIds
from basilwall.parts.clock import Clock
from basilwall.parts.handovers import Handovers
from basilwall.parts.membership import Member, Membership
from basilwall.parts.ticket_issuer import TicketIssuer
from basilwall.parts.tickets import TicketTable
from basilwall.peer.handover_messages import handover_from_wire
from basilwall.peer.handover_sender import HandoverSender
from basilwall.records.attempt import Answered, MayHaveRun, NotRun, OutcomeTag
from basilwall.records.order import OrderState

KEY = b'k' * 16
LIFETIME = 60
SERVICE = 'desk'
PATIENCE = 20


class SkewedClock(Clock):
    """One VM's clocks: the time of all with a wall that is set apart."""

    def __init__(self, base):
        self.base = base
        self.skew = 0

    def monotonic(self):
        return self.base.monotonic()

    def wall(self):
        return self.base.wall() + self.skew


class LostCallError(grpc.RpcError):
    """A call without a reply."""

    def code(self):
        return grpc.StatusCode.UNAVAILABLE


class KilledError(Exception):
    """Ends the thread of an order whose process was killed."""


class Searchers:
    """Three searchers, each next send ending in the next of `fates`."""

    def __init__(self):
        self.fates = []
        self.runs_by_ticket = Counter()
        self.runs_by_order = Counter()
        self.denied = set()
        self.faults = []

    def run(self, request):
        """Count a run; return the answer that the searcher gives."""
        order, _, ticket = request.request_id.partition('|')
        self.runs_by_ticket[ticket] += 1
        self.runs_by_order[order] += 1
        if self.runs_by_order[order] > 1:
            self.faults.append(f'{order} ran twice')
        if ticket in self.denied:
            self.faults.append(f'{order} ran after "not run"')
        return request.body

    def learn(self, request, outcome):
        """Check what anybody is told against what ran."""
        ran = self.runs_by_ticket[request.ticket]
        if outcome.state is OrderState.NOT_RUN:
            self.denied.add(request.ticket)
            if ran:
                self.faults.append('told "not run" of an order that ran')
        elif outcome.state is OrderState.RAN:
            if not ran or outcome.body != request.body:
                self.faults.append('told "ran" of an order that did not')
        elif outcome.state is OrderState.REJECTED:
            self.faults.append('an honest caller was rejected')


class Hold:
    """Where an order waits until the machine goes on."""

    def __init__(self):
        self.reached = threading.Event()
        self.go = threading.Event()

    def wait(self):
        self.reached.set()
        assert self.go.wait(PATIENCE)


class Pool:
    """The way of one VM to one searcher."""

    def __init__(self, vm, address):
        self.vm = vm
        self.address = address

    def submit(self, job):
        searchers = self.vm.searchers
        fate = searchers.fates.pop(0) if searchers.fates else 'answered'
        job.searcher = self.address
        self._pass(fate, 'held_before')
        if not job.may_send():
            job.deliver(job, NotRun(self.address, OutcomeTag.NOT_SENT))
            return
        if fate == 'held_running':
            self.vm.hold.wait()
        answers = fate in {'answered', 'held_before', 'held_running'}
        if answers or fate == 'lost_after':
            body = searchers.run(job.request)
        if self.vm.killed:
            raise KilledError
        outcome = NotRun(self.address, OutcomeTag.SHED)
        if answers:
            outcome = Answered(self.address, 's1', body, 1, 1)
        elif fate.startswith('lost'):
            outcome = MayHaveRun(self.address, OutcomeTag.LOST)
        job.deliver(job, outcome)

    def _pass(self, fate, here):
        if fate == here:
            self.vm.hold.wait()
            if self.vm.killed:
                raise KilledError


class Network:
    """Who is where, who reaches whom, and what is still under way."""

    def __init__(self):
        self.vm_by_address = {}
        self.cut = set()
        self.fate = 'arrives'
        self.late = []
        self.handovers_lost = 0

    def reach(self, source, address):
        """Return the VM at an address if a call gets there."""
        vm = self.vm_by_address.get(address)
        apart = frozenset((source.address, address)) in self.cut
        return None if vm is None or vm.paused or apart else vm

    def clients(self, source):
        """Return the calls of a VM that stops."""

        def hand_over(address, message):
            vm = self.reach(source, address)
            if vm is None or self.handovers_lost > 0:
                self.handovers_lost -= 1
                raise LostCallError
            vm.handovers.store(
                handover_from_wire(message, vm.clock.monotonic()),
            )

        return SimpleNamespace(
            stub=lambda address: SimpleNamespace(
                HandOver=lambda message, **_: hand_over(address, message),
            ),
        )


class Forwarder(OrderForwarder):
    """The calls of one VM; only the next forward has the drawn fate."""

    def __init__(self, vm, network):
        self._vm = vm
        self._network = network

    def forward(self, request, ticket):
        network = self._network
        fate, network.fate = network.fate, 'arrives'
        if fate in {'delayed', 'doubled'}:
            network.late.append((request, ticket.owner))
        vm = network.reach(self._vm, ticket.owner)
        if vm is None or fate in {'delayed', 'request_lost'}:
            return None
        outcome = vm.handle_forwarded(request)
        return None if fate == 'reply_lost' else outcome

    def ask_peers(self, request):
        for address in sorted(self._network.vm_by_address):
            vm = self._network.reach(self._vm, address)
            if vm is None or vm is self._vm:
                continue
            outcome = vm.handle_forwarded(request)
            if outcome.state is not OrderState.UNKNOWN:
                return outcome
        return None


class Vm:
    """The real parts of one incarnation."""

    def __init__(self, address, number, base, network, searchers):
        self.address = address
        self.incarnation = f'i{number}'
        self.clock = SkewedClock(base)
        self.searchers = searchers
        self.hold = Hold()
        self.paused = False
        self.killed = False
        self.membership = Membership(
            Member(address, self.incarnation),
            self.clock,
        )
        self.mint = TicketIssuer(
            address,
            self.incarnation,
            KEY,
            self.clock,
            LIFETIME,
        )
        self.table = TicketTable(self.mint, self.clock)
        self.handovers = Handovers(self.clock)
        self.desk = OrderHandler(
            self.mint,
            self.table,
            OrderDispatcher(
                _STATE,
                self,
                TrustingCrashTracker(),
                AttemptIds(self.incarnation),
                self.clock,
            ),
            Forwarder(self, network),
            self.handovers,
            self.clock,
            random.Random(1),
        )
        self.stop = HandoverSender(
            self.membership,
            self.table,
            self.handovers,
            network.clients(self),
            self.clock,
        ).run

    def pick(self, part, tried):
        """Stand for the pools."""
        left = [one for one in part.searchers if one not in tried]
        return Pool(self, left[0]) if left else None

    def handle_forwarded(self, request):
        """Take a call, and let the oracle hear what it says."""
        outcome = self.desk.handle_forwarded(request)
        self.searchers.learn(request, outcome)
        return outcome


_PART = SimpleNamespace(instance='p', searchers=['x', 'y', 'z'])
_SNAPSHOT = SimpleNamespace(snapshot_id='s1', parts=[_PART])
_STATE = SimpleNamespace(
    catalogue_by_service={SERVICE: SimpleNamespace(snapshots=[_SNAPSHOT])},
)
