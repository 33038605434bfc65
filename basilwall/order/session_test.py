"""Compares the log of a fixed sequence of orders with its golden file."""

from pathlib import Path

from basilwall.order.fleet_fakes_test import SERVICE, Network, Searchers, Vm
from basilwall.order.handler import OrderRequest
from basilwall.parts.clock import ManualClock
from basilwall.parts.membership import Member

GOLDEN = Path(__file__).parents[2] / 'tests' / 'golden' / 'orders.txt'


class Session:
    """Three VMs and the log of the calls between them."""

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
        forward = vm.order_handler.handle_forwarded

        def logged(request):
            outcome = forward(request)
            self.log_call(f'another VM -> {address}', request, outcome)
            return outcome

        vm.order_handler.handle_forwarded = logged
        self.log(f'{address} starts as i{number}')

    def log(self, text):
        self.lines.append(f'{self.clock.monotonic():7.1f}  {text}')

    def log_call(self, route, request, outcome):
        outcome_words = [outcome.state.value, outcome.reason.value]
        if outcome.replacement:
            outcome_words.append(f'use {self.ticket_name(outcome.replacement)}')
        if outcome.body:
            outcome_words.append(outcome.body.decode())
        order_words = (
            f'{request.body.decode()} under {self.ticket_name(request.ticket)}'
        )
        self.log(f'{route}: {order_words}: {", ".join(outcome_words)}')

    def ticket_name(self, ticket):
        if not ticket:
            return 'no ticket'
        known_tickets = self.name_by_ticket
        return known_tickets.setdefault(
            ticket, f'ticket-{len(known_tickets) + 1}'
        )

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
        outcome = vm.order_handler.handle(request)
        self.log_call(f'caller -> {address}', request, outcome)
        return outcome.replacement


def run_scenario(session):
    """Send the orders of the golden file."""
    network = session.network
    session.log('-- an order without a ticket, then with one, and a copy')
    first = session.send('a:1', '', 'citrus')
    session.send('a:1', first, 'citrus')
    session.send('b:1', first, 'citrus')
    session.log('-- other content under the same ticket')
    session.send('b:1', first, 'coconut')
    session.clock.advance(1)
    session.log('-- every searcher sheds: the ticket is burnt')
    second = session.send('b:1', '', 'coconut')
    session.searchers.fates = ['shed', 'shed', 'shed']
    third = session.send('c:1', second, 'coconut')
    session.send('a:1', second, 'coconut')
    session.send('a:1', third, 'coconut')
    session.clock.advance(1)
    session.log('-- the owner is cut off, then heard again')
    fourth = session.send('a:1', '', 'cattle')
    network.partitions = {frozenset(('a:1', 'b:1'))}
    session.send('b:1', fourth, 'cattle')
    network.partitions = set()
    session.send('b:1', fourth, 'cattle')
    session.clock.advance(1)
    session.log('-- a:1 stops by plan, one of its tickets unused')
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
    session.log('-- b:1 is killed and its address comes back')
    fifth = session.send('b:1', '', 'grills')
    session.send('b:1', fifth, 'grills')
    network.vm_by_address.pop('b:1')
    session.send('c:1', fifth, 'grills')
    session.start('b:1', 5)
    session.send('b:1', fifth, 'grills')
    session.log('-- the searchers ran')
    for order, runs in sorted(session.searchers.runs_by_order.items()):
        session.log(f'{order}: {runs}')


def test_the_log_equals_the_golden_file():
    session = Session()
    run_scenario(session)
    assert session.searchers.faults == ['an order was rejected']
    assert session.lines == GOLDEN.read_text().splitlines()
