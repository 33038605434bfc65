"""Cost of one gossip exchange between VMs, by the size of their state.

The state is members, published keys or leaving searchers. Both VMs
run in this process and talk over a real gRPC channel, so the processor time
is that of two VMs. The bytes are those of the messages, without the framing
of the transport.
"""

import random
import time
from collections.abc import Iterable
from pathlib import Path
from types import SimpleNamespace

from basilwall.parts.clock import SystemClock
from basilwall.parts.leaving_searchers import LeavingSearchers
from basilwall.parts.membership import Member, Membership
from basilwall.parts.quarantine import Quarantine
from basilwall.parts.revisions import RevisionRegister
from basilwall.parts.tasks import task_group
from basilwall.peer.client import PeerClients
from basilwall.peer.gossip import GossipProtocol
from basilwall.peer.links import PeerLinks
from basilwall.peer.server import PeerService, peer_server
from basilwall.records.catalogue import PublishedValue
from basilwall.records.ids import (
    Incarnation,
    SearcherAddress,
    VmAddress,
    Zone,
)
from basilwall.records.revision import Revision
from basilwall.standin.ports import HOST, reserved_ports
from bench.report import Row
from bench.slopes import MICROSECONDS_PER_SECOND, Point, slope_row

MEMBER_COUNTS = (9, 30, 100, 300, 1900)
KEY_COUNTS = (17, 50, 200, 1000)
LEAVING_COUNTS = (0, 10, 50, 200)
ROUNDS = 200


def run(_: Path) -> Iterable[Row]:
    """Measure exchanges of two VMs with equal state."""
    for name, sizes, make in (
        ('a member', MEMBER_COUNTS, lambda size: _make_gossip(members=size)),
        ('a published key', KEY_COUNTS, lambda size: _make_gossip(keys=size)),
        (
            'a searcher leaving',
            LEAVING_COUNTS,
            lambda size: _make_gossip(leaving=size),
        ),
    ):
        pairs = [(size, make(size), make(size)) for size in sizes]
        lengths = [
            Point(size, _exchange_bytes(first, second))
            for size, first, second in pairs
        ]
        times = [
            Point(size, _exchange_microseconds(first, second))
            for size, first, second in pairs
        ]
        yield slope_row(f'exchange, {name}', 'bytes', lengths)
        yield slope_row(f'exchange, {name}', 'us of two VMs', times)


def _make_gossip(
    members: int = 9, keys: int = 17, leaving: int = 0
) -> GossipProtocol:
    clock = SystemClock()
    own = _member(0)
    membership = Membership(own, clock)
    for number in range(1, members):
        membership.record_contact(_member(number))
    register = RevisionRegister()
    for number in range(keys):
        key = f'basilwall/documents/service-{number}'
        register.offer(PublishedValue(key, Revision(0, number + 1), b'{}'))
    leaving_searchers = LeavingSearchers(clock, own.incarnation)
    for number in range(leaving):
        leaving_searchers.report_leaving(
            SearcherAddress(f'10.0.0.9:{number + 1000}')
        )
    return GossipProtocol(
        register,
        leaving_searchers,
        Quarantine(clock),
        membership,
        random.Random(1),
    )


def _member(number: int) -> Member:
    return Member(
        VmAddress(f'10.{number >> 8}.{number & 255}.7:8081'),
        Incarnation(f'{number:032x}'),
        Zone('amman-a'),
    )


def _exchange_bytes(first: GossipProtocol, second: GossipProtocol) -> float:
    request = first.build_request()
    return request.ByteSize() + second.handle_exchange(request).ByteSize()


def _exchange_microseconds(
    first: GossipProtocol, second: GossipProtocol
) -> float:
    clock = SystemClock()
    service = PeerService(second, SimpleNamespace(), SimpleNamespace(), clock)
    clients = PeerClients()
    with reserved_ports(1) as port, task_group('exchange') as tasks:
        address = VmAddress(f'{HOST}:{port}')
        links = PeerLinks(first, clients, tasks, random.Random(1))
        with peer_server(service, address):
            assert links.exchange(address)
            started = time.process_time()
            for _ in range(ROUNDS):
                links.exchange(address)
            cpu_seconds = time.process_time() - started
            clients.close()
    return cpu_seconds / ROUNDS * MICROSECONDS_PER_SECOND
