"""A whole session of orders, compared word for word with its golden file."""

from pathlib import Path

from basilwall.order.fleet_fakes_test import SERVICE, Network, Searchers, Vm
from basilwall.order.handler import OrderRequest
from basilwall.parts.clock import ManualClock
from basilwall.parts.membership import Member

GOLDEN = Path(__file__).parents[2] / 'tests' / 'golden' / 'orders.txt'


class Session:
    """Three VMs, and the text of what is said between them."""

    def __init__(self):
        self.clock = ManualClock()
        self.network = Network()
        self.searchers = Searchers()
        self.lines = []
        self.name_by_ticket = {}
        for number, address in enumerate(('a:1', 'b:1', 'c:1'), 1):
            self.start(address, number)

    def start(self, address, number):
        vm = Vm(address, number, self.clock, self.network, self.searchers)
        self.network.vm_by_address[address] = vm
        for other in self.network.vm_by_address.values():
            vm.membership.record_contact(
                Member(other.address, other.incarnation)
            )
            other.membership.record_contact(vm.membership.own)
        forward = vm.desk.handle_forwarded

        def noted(request):
            outcome = forward(request)
            self.say(f'another VM -> {address}', request, outcome)
            return outcome

        vm.desk.handle_forwarded = noted
        self.note(f'{address} starts as i{number}')

    def note(self, text):
        self.lines.append(f'{self.clock.monotonic():7.1f}  {text}')

    def say(self, way, request, outcome):
        told = [outcome.state.value, outcome.reason.value]
        if outcome.replacement:
            told.append(f'use {self.name(outcome.replacement)}')
        if outcome.body:
            told.append(outcome.body.decode())
        sent = f'{request.body.decode()} under {self.name(request.ticket)}'
        self.note(f'{way}: {sent}: {", ".join(told)}')

    def name(self, ticket):
        if not ticket:
            return 'no ticket'
        known = self.name_by_ticket
        return known.setdefault(ticket, f'ticket-{len(known) + 1}')

    def send(self, address, ticket, body):
        vm = self.network.vm_by_address[address]
        deadline = self.clock.monotonic() + 2
        request = OrderRequest(
            f'{body}|{ticket}',
            SERVICE,
            ticket,
            body.encode(),
            deadline,
        )
        outcome = vm.desk.handle(request)
        self.say(f'caller -> {address}', request, outcome)
        return outcome.replacement


def play(session):
    """Play the session."""
    network = session.network
    session.note('-- an order without a ticket, then with one, and a copy')
    first = session.send('a:1', '', 'citrus')
    session.send('a:1', first, 'citrus')
    session.send('b:1', first, 'citrus')
    session.note('-- other content under the same ticket')
    session.send('b:1', first, 'coconut')
    session.clock.advance(1)
    session.note('-- every searcher sheds: the ticket is burnt')
    second = session.send('b:1', '', 'coconut')
    session.searchers.fates = ['shed', 'shed', 'shed']
    third = session.send('c:1', second, 'coconut')
    session.send('a:1', second, 'coconut')
    session.send('a:1', third, 'coconut')
    session.clock.advance(1)
    session.note('-- the owner is cut off, then heard again')
    fourth = session.send('a:1', '', 'cattle')
    network.cut = {frozenset(('a:1', 'b:1'))}
    session.send('b:1', fourth, 'cattle')
    network.cut = set()
    session.send('b:1', fourth, 'cattle')
    session.clock.advance(1)
    session.note('-- a:1 stops by plan, one of its tickets unused')
    unused = session.send('a:1', '', 'trucks')
    owner = network.vm_by_address['a:1']
    owner.membership.announce_leaving()
    owner.stop(60, 0)
    network.vm_by_address.pop('a:1')
    session.send('c:1', first, 'citrus')
    renewed = session.send('c:1', unused, 'trucks')
    session.send('b:1', unused, 'trucks')
    session.send('b:1', renewed, 'trucks')
    session.clock.advance(1)
    session.start('a:1', 4)
    session.send('a:1', first, 'citrus')
    session.note('-- b:1 is killed and its address comes back')
    fifth = session.send('b:1', '', 'grills')
    session.send('b:1', fifth, 'grills')
    network.vm_by_address.pop('b:1')
    session.send('c:1', fifth, 'grills')
    session.start('b:1', 5)
    session.send('b:1', fifth, 'grills')
    session.note('-- the searchers ran')
    for order, runs in sorted(session.searchers.runs_by_order.items()):
        session.note(f'{order}: {runs}')


def test_the_session_is_as_written():
    session = Session()
    play(session)
    assert session.searchers.faults == ['an honest caller was rejected']
    assert session.lines == GOLDEN.read_text().splitlines()
