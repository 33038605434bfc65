"""Fakes for tests of orders over several VMs; this module has no tests.

The network carries forwarded orders and handovers between the production
classes, and loses, delays or duplicates them as set by the test. The searchers
count their runs.
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
TICKET_LIFETIME_SECONDS = 60
SERVICE = 'desk'
TIMEOUT_SECONDS = 20


class SkewedClock(Clock):
    """The clocks of one VM: the shared time with a skewed wall clock."""

    def __init__(self, shared_clock):
        self.shared_clock = shared_clock
        self.wall_offset = 0

    def monotonic(self):
        return self.shared_clock.monotonic()

    def wall(self):
        return self.shared_clock.wall() + self.wall_offset


class LostCallError(grpc.RpcError):
    """A call without a reply."""

    def code(self):
        return grpc.StatusCode.UNAVAILABLE


class KilledError(Exception):
    """Ends the thread of an order whose VM was killed."""


class Searchers:
    """Three searchers; each attempt ends in the next of `fates`."""

    def __init__(self):
        self.fates = []
        self.runs_by_ticket = Counter()
        self.runs_by_order = Counter()
        self.tickets_not_run = set()
        self.faults = []

    def run(self, request):
        """Count a run and return the searcher's answer."""
        order, _, ticket = request.request_id.partition('|')
        self.runs_by_ticket[ticket] += 1
        self.runs_by_order[order] += 1
        if self.runs_by_order[order] > 1:
            self.faults.append(f'{order} ran twice')
        if ticket in self.tickets_not_run:
            self.faults.append(f'{order} ran after "not run"')
        return request.body

    def check_outcome(self, request, outcome):
        """Check a reported outcome against the counted runs."""
        ran = self.runs_by_ticket[request.ticket]
        if outcome.state is OrderState.NOT_RUN:
            self.tickets_not_run.add(request.ticket)
            if ran:
                self.faults.append('reported "not run" for an order that ran')
        elif outcome.state is OrderState.RAN:
            if not ran or outcome.body != request.body:
                self.faults.append('reported "ran" for an order that did not')
        elif outcome.state is OrderState.REJECTED:
            self.faults.append('an order was rejected')


class PausePoint:
    """Blocks an order until the test lets it continue."""

    def __init__(self):
        self.reached = threading.Event()
        self.released = threading.Event()

    def wait(self):
        self.reached.set()
        assert self.released.wait(TIMEOUT_SECONDS)


class Pool:
    """The connections of one VM to one searcher."""

    def __init__(self, vm, address):
        self.vm = vm
        self.address = address

    def submit(self, job):
        searchers = self.vm.searchers
        fate = searchers.fates.pop(0) if searchers.fates else 'answered'
        job.searcher = self.address
        self._pause_at(fate, 'held_before')
        if not job.may_send():
            job.deliver(job, NotRun(self.address, OutcomeTag.NOT_SENT))
            return
        if fate == 'held_running':
            self.vm.pause_point.wait()
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

    def _pause_at(self, fate, point):
        if fate == point:
            self.vm.pause_point.wait()
            if self.vm.killed:
                raise KilledError


class Network:
    """The VMs by address, the partitions, and the delayed calls."""

    def __init__(self):
        self.vm_by_address = {}
        self.partitions = set()
        self.fate = 'arrives'
        self.delayed_calls = []
        self.handovers_lost = 0

    def find_reachable(self, sender, address):
        """Return the VM at an address, or None if a call can't reach it."""
        vm = self.vm_by_address.get(address)
        is_partitioned = frozenset((sender.address, address)) in self.partitions
        return None if vm is None or vm.paused or is_partitioned else vm

    def clients(self, sender):
        """Return the peer clients of a stopping VM."""

        def hand_over(address, message):
            vm = self.find_reachable(sender, address)
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
    """Forwards orders of one VM; `fate` applies to the next call only."""

    def __init__(self, vm, network):
        self._vm = vm
        self._network = network

    def forward(self, request, ticket):
        network = self._network
        fate, network.fate = network.fate, 'arrives'
        if fate in {'delayed', 'doubled'}:
            network.delayed_calls.append((request, ticket.owner))
        vm = network.find_reachable(self._vm, ticket.owner)
        if vm is None or fate in {'delayed', 'request_lost'}:
            return None
        outcome = vm.handle_forwarded(request)
        return None if fate == 'reply_lost' else outcome

    def ask_peers(self, request):
        for address in sorted(self._network.vm_by_address):
            vm = self._network.find_reachable(self._vm, address)
            if vm is None or vm is self._vm:
                continue
            outcome = vm.handle_forwarded(request)
            if outcome.state is not OrderState.UNKNOWN:
                return outcome
        return None


class Vm:
    """One incarnation of a VM, made of production classes."""

    def __init__(self, address, number, shared_clock, network, searchers):
        self.address = address
        self.incarnation = f'i{number}'
        self.clock = SkewedClock(shared_clock)
        self.searchers = searchers
        self.pause_point = PausePoint()
        self.paused = False
        self.killed = False
        self.membership = Membership(
            Member(address, self.incarnation),
            self.clock,
        )
        self.issuer = TicketIssuer(
            address,
            self.incarnation,
            KEY,
            self.clock,
            TICKET_LIFETIME_SECONDS,
        )
        self.table = TicketTable(self.issuer, self.clock)
        self.handovers = Handovers(self.clock)
        self.order_handler = OrderHandler(
            self.issuer,
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
        """Act as the searcher pools."""
        remaining = [
            address for address in part.searchers if address not in tried
        ]
        return Pool(self, remaining[0]) if remaining else None

    def handle_forwarded(self, request):
        """Handle a forwarded order and check the outcome."""
        outcome = self.order_handler.handle_forwarded(request)
        self.searchers.check_outcome(request, outcome)
        return outcome


_PART = SimpleNamespace(instance='p', searchers=['x', 'y', 'z'])
_SNAPSHOT = SimpleNamespace(snapshot_id='s1', parts=[_PART])
_STATE = SimpleNamespace(
    catalogue_by_service={SERVICE: SimpleNamespace(snapshots=[_SNAPSHOT])},
)
