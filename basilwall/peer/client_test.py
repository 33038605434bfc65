"""Tests of forwarding over real gRPC channels."""

from types import SimpleNamespace

import pytest

from basilwall.order.handler import OrderRequest
from basilwall.parts.clock import SystemClock
from basilwall.parts.membership import Member, Membership
from basilwall.peer.client import GrpcForwarder, PeerClients
from basilwall.peer.server import PeerService, peer_server
from basilwall.records.order import OrderOutcome, OrderReason, OrderState
from basilwall.standin.ports import HOST, reserved_ports

RAN = OrderOutcome(OrderState.RAN, OrderReason.ANSWERED, b'[1]')


@pytest.fixture
def owner():
    with reserved_ports(1) as port:
        yield f'{HOST}:{port}'


@pytest.fixture
def clients():
    peer_clients = PeerClients()
    yield peer_clients
    peer_clients.close()


def test_a_returned_peer_is_called_without_backoff(clients, owner):
    clock = SystemClock()
    membership = Membership(Member('other'), clock)
    forwarder = GrpcForwarder(clients, membership, clock)
    ticket = SimpleNamespace(owner=owner)

    def forward():
        deadline = clock.monotonic() + 5
        request = OrderRequest('r', 's', 't', b'{}', deadline)
        return forwarder.forward(request, ticket)

    for _ in range(5):
        assert forward() is None
    order_handler = SimpleNamespace(handle_forwarded=lambda request: RAN)
    with peer_server(PeerService(None, order_handler, None, clock), owner):
        membership.record_contact(Member(owner))
        assert forward() == RAN
