"""Model-based test of gossip: VMs converge on the highest accepted revision.

Only gRPC is replaced by a fake transport; links, gossip, register, state and
watches are the production classes. Messages are lost, delayed and duplicated.
The platform has two addresses, each with its own lag and outages.
"""

import random
from itertools import permutations

import grpc
import pytest
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from basilwall.configuration.client import PlatformError, WatchReply
from basilwall.configuration.platform_watch import PlatformWatch
from basilwall.configuration.state import PlatformState
from basilwall.document.keys import DOCUMENT_PREFIX
from basilwall.parts.clock import ManualClock
from basilwall.parts.leaving_searchers import (
    NOTICE_TTL_SECONDS,
    LeavingSearchers,
)
from basilwall.parts.membership import Member, Membership
from basilwall.parts.quarantine import Quarantine
from basilwall.parts.refusals import Refusal
from basilwall.parts.revisions import RevisionRegister
from basilwall.parts.tasks import TaskGroup
from basilwall.peer.generated import peer_pb2
from basilwall.peer.gossip import (
    MAX_VALUES_BYTES,
    GossipProtocol,
    batches_by_size,
)
from basilwall.peer.links import CALL_TIMEOUT_SECONDS, PeerLinks
from basilwall.records.catalogue import PublishedValue
from basilwall.records.revision import Revision

VM_COUNT = 3
SEARCHER = '10.1.0.1:9'
VM_NUMBERS = st.integers(min_value=0, max_value=VM_COUNT - 1)
KEYS = st.sampled_from([f'{DOCUMENT_PREFIX}one', f'{DOCUMENT_PREFIX}two'])
GOOD, BAD = True, False


class LostCallError(grpc.RpcError):
    """A call without a reply."""

    def code(self):
        """Return the gRPC status code."""
        return grpc.StatusCode.UNAVAILABLE


class PlatformAddress:
    """One address of the platform, which may be down or lag behind."""

    def __init__(self, published):
        self.published, self.behind, self.down = published, 0, False

    def watch(self, after):
        """Return the values of this address above a revision."""
        if self.down:
            raise PlatformError('down')
        seen = len(self.published) - self.behind
        newest = {value.key: value for value in self.published[: max(seen, 0)]}
        values = [value for value in newest.values() if value.revision > after]
        return WatchReply(Revision(0, max(seen, 0)), tuple(values))


class Node:
    """One VM, wired as in production."""

    def __init__(self, number, incarnation, machine):
        clock, rng = machine.clock, random.Random(number)
        name = f'{number}.{incarnation}'
        self.address = f'10.0.0.{number}:1'
        self.state = PlatformState()
        self.register = RevisionRegister(self.state.apply)
        self.leaving_searchers = LeavingSearchers(clock, name)
        self.gossip = GossipProtocol(
            self.register,
            self.leaving_searchers,
            Quarantine(clock),
            Membership(Member(self.address, name), clock),
            rng,
        )
        self.links = PeerLinks(
            self.gossip,
            FakePeerClients(self.address, machine),
            TaskGroup('unused'),
            rng,
        )
        self.watches = [
            PlatformWatch(platform_address, self.register, clock, rng)
            for platform_address in machine.platform
        ]

    def revisions(self):
        """Return the revision in force of each key."""
        digest = self.register.digest()
        return {key: known.revision.number for key, known in digest.items()}


class FakePeerClients:
    """The peer clients of one VM."""

    def __init__(self, sender, machine):
        self.sender, self.machine = sender, machine

    def stub(self, address):
        """Return the stub of one peer."""
        return FakeStub(self.sender, address, self.machine)


class FakeStub:
    """A stub from one VM to another that serializes its messages."""

    def __init__(self, sender, receiver, machine):
        self.endpoints = frozenset((sender, receiver))
        self.receiver, self.machine = receiver, machine

    def Exchange(self, request, timeout):  # noqa: N802
        """Transport an exchange."""
        return self._transport(request, 'answer')

    def Push(self, request, timeout):  # noqa: N802
        """Transport a push."""
        return self._transport(request, 'push')

    def _transport(self, request, kind):
        machine = self.machine
        if self.endpoints in machine.partitions or machine.loses_next(
            'request'
        ):
            raise LostCallError
        machine.sent.append((self.receiver, kind, request.SerializeToString()))
        reply = machine.deliver(*machine.sent[-1])
        if machine.loses_next('reply'):
            raise LostCallError
        return reply


class GossipMachine(RuleBasedStateMachine):
    """VMs that read two addresses of the platform and gossip."""

    @initialize()
    def start(self):
        self.clock, self.published = ManualClock(), []
        self.platform = [
            PlatformAddress(self.published),
            PlatformAddress(self.published),
        ]
        self.partitions, self.sent, self.next_lost = set(), [], []
        self.newest, self.marked_at = {}, None
        self.starts = VM_COUNT
        self.nodes = [Node(number, 0, self) for number in range(VM_COUNT)]
        self.floors = [{} for _ in self.nodes]

    def loses_next(self, part):
        if self.next_lost and self.next_lost[0] == part:
            self.next_lost.pop()
            return True
        return False

    def deliver(self, receiver, kind, message):
        gossip = next(
            node.gossip for node in self.nodes if node.address == receiver
        )
        if kind == 'answer':
            request = peer_pb2.ExchangeRequest.FromString(message)
            return gossip.handle_exchange(request)
        push = peer_pb2.PushRequest.FromString(message)
        gossip.apply(push.sender, push.facts)
        return peer_pb2.PushReply()

    @rule(key=KEYS, validities=st.lists(st.booleans(), min_size=1, max_size=3))
    def publish(self, key, validities):
        """Publish one or several revisions before any VM reads them."""
        for good in validities:
            revision = len(self.published) + 1
            service = key.removeprefix(DOCUMENT_PREFIX) if good else 'misplaced'
            body = f'{{"service": "{service}", "deadline_ms": {revision + 5}}}'
            value = PublishedValue(key, Revision(0, revision), body.encode())
            self.published.append(value)
            self.newest[key] = (revision, good)

    @rule(index=st.integers(0, 1), behind=st.integers(0, 4), down=st.booleans())
    def disturb_platform(self, index, behind, down):
        self.platform[index].behind = behind
        self.platform[index].down = down

    @rule(number=VM_NUMBERS, index=st.integers(0, 1))
    def read(self, number, index):
        self.nodes[number].watches[index].read()

    @rule(first=VM_NUMBERS, second=VM_NUMBERS, whole=st.booleans())
    def exchange(self, first, second, whole):
        if first != second:
            keys = () if whole else (f'{DOCUMENT_PREFIX}one',)
            self.nodes[first].links.exchange(self.nodes[second].address, keys)

    @rule(part=st.sampled_from(['request', 'reply']))
    def lose(self, part):
        self.next_lost = [part]

    @rule(first=VM_NUMBERS, second=VM_NUMBERS, is_partitioned=st.booleans())
    def partition(self, first, second, is_partitioned):
        endpoints = frozenset(
            (self.nodes[first].address, self.nodes[second].address)
        )
        (self.partitions.add if is_partitioned else self.partitions.discard)(
            endpoints
        )

    @rule(index=st.integers(0, 30))
    def deliver_again(self, index):
        """Deliver a copy of a message late, within the timeout of a call."""
        if index < len(self.sent):
            self.deliver(*self.sent[index])

    @rule(number=VM_NUMBERS)
    def restart(self, number):
        """Start a VM with empty state and let it become ready."""
        self.starts += 1
        node = Node(number, self.starts, self)
        self.nodes[number] = node
        self.next_lost = []
        for watch in node.watches:
            watch.read()
        peers = [other for other in self.nodes if other is not node]
        reachable_peers = [
            candidate
            for candidate in peers
            if frozenset((candidate.address, node.address))
            not in self.partitions
        ]
        for peer in reachable_peers:
            assert node.links.exchange(peer.address)
        floor = {}
        for peer in reachable_peers:
            for key, revision in peer.revisions().items():
                floor[key] = max(revision, floor.get(key, 0))
        self.floors[number] = floor

    @rule(number=VM_NUMBERS)
    def report_leaving(self, number):
        """A VM sees a searcher leaving; all know it one exchange later."""
        self.nodes[number].leaving_searchers.report_leaving(SEARCHER)
        self.marked_at = self.clock.monotonic()
        address = self.nodes[number].address
        for peer in self.nodes:
            endpoints = frozenset((peer.address, address))
            if (
                len(endpoints) == 2
                and endpoints not in self.partitions
                and not self.next_lost
            ):
                self.nodes[number].links.exchange(peer.address)
                assert peer.leaving_searchers.is_leaving(SEARCHER)

    @rule(seconds=st.floats(0, 20))
    def wait(self, seconds):
        self.clock.advance(seconds)
        if seconds > CALL_TIMEOUT_SECONDS:
            self.sent.clear()

    @rule()
    def converges_without_faults(self):
        """Without faults, all VMs have the highest accepted revision.

        A revision is accepted if a running VM holds it, or if the platform
        shows it and it is valid. A valid value that an invalid one replaced
        before any VM read it was never accepted.
        """
        accepted = {}
        for node in self.nodes:
            for key, held_revision in node.revisions().items():
                accepted[key] = max(held_revision, accepted.get(key, 0))
        for key, (revision, good) in self.newest.items():
            accepted[key] = revision if good else accepted.get(key, 0)
        self.partitions.clear()
        self.next_lost = []
        for address in self.platform:
            address.behind, address.down = 0, False
        self.nodes[0].watches[0].read()
        for _ in range(2):
            for first, second in permutations(self.nodes, 2):
                assert first.links.exchange(second.address)
        for node in self.nodes:
            assert node.revisions() == accepted
            digest = node.register.digest()
            for key, (revision, good) in self.newest.items():
                refused = 0 if good else revision
                assert digest[key].refused == Revision(0, refused)
        assert len({node.register.hash() for node in self.nodes}) == 1

    @invariant()
    def revisions_in_force_never_decrease(self):
        for number, node in enumerate(self.nodes):
            floor, held_revisions = self.floors[number], node.revisions()
            assert all(
                held_revisions.get(key, 0) >= floor[key] for key in floor
            )
            self.floors[number] = held_revisions

    @invariant()
    def values_in_force_match_their_revision(self):
        for node in self.nodes:
            held_revisions = {
                key: revision
                for key, revision in node.revisions().items()
                if revision
            }
            in_force = {
                f'{DOCUMENT_PREFIX}{service}': document.deadline_ms - 5
                for service, document in node.state.document_by_service.items()
            }
            assert held_revisions == in_force

    @invariant()
    def leaving_notices_expire(self):
        max_age = NOTICE_TTL_SECONDS + CALL_TIMEOUT_SECONDS * VM_COUNT
        last = self.marked_at
        if last is None or self.clock.monotonic() - last > max_age:
            assert not any(
                node.leaving_searchers.is_leaving(SEARCHER)
                for node in self.nodes
            )


TestGossip = GossipMachine.TestCase


def pair():
    machine = GossipMachine()
    machine.start()
    return machine, *machine.nodes[:2]


def test_malformed_messages_change_no_state():
    _, first, _ = pair()
    first.register.offer(
        PublishedValue(
            f'{DOCUMENT_PREFIX}a', Revision(0, 1), b'{"service":"a"}'
        )
    )
    before = first.register.hash()
    sender = peer_pb2.VmIdentity(address='nowhere', incarnation='x' * 999)
    first.gossip.apply(
        sender,
        peer_pb2.Facts(
            members=[sender, peer_pb2.VmIdentity(address='/etc/x:1')],
            published=[
                peer_pb2.PublishedValue(
                    key=f'{DOCUMENT_PREFIX}a', revision_text=text
                )
                for text in ('x', '-2', '9' * 5000, '1:', ' 2', '\u0662')
            ],
            refused=[
                peer_pb2.RefusedValue(key='k', revision_text='x'),
                peer_pb2.RefusedValue(key='k' * 999, revision=2),
            ],
            leaving=[
                peer_pb2.LeavingSearcher(address='x' * 500),
                peer_pb2.LeavingSearcher(address=SEARCHER, age_ms=2**32 - 1),
                peer_pb2.LeavingSearcher(address=SEARCHER, observer='x' * 999),
            ],
        ),
    )
    assert first.register.hash() == before
    assert first.register.malformed == 2
    assert first.gossip.malformed == 13
    assert not first.leaving_searchers.notice_ages()
    assert first.gossip.membership.peers() == []


def test_large_state_is_sent_in_bounded_messages():
    machine, first, second = pair()
    for number in range(5):
        body = bytes(900_000)
        second.register.offer(
            PublishedValue(f'far/{number}', Revision(0, 1), body)
        )
        first.register.offer(
            PublishedValue(f'near/{number}', Revision(0, 1), body)
        )
    assert first.links.exchange(second.address)
    assert first.register.hash() == second.register.hash()
    assert len(first.revisions()) == 10
    sizes = [len(message) for _, _, message in machine.sent]
    assert max(sizes) < MAX_VALUES_BYTES + 100_000


def test_batches_respect_the_size_limit():
    values = [
        PublishedValue(str(size), Revision(0, 1), bytes(size))
        for size in (9, 2**20, 5)
    ]
    assert [len(step) for step in batches_by_size(values)] == [1, 1, 1]
    assert list(batches_by_size([])) == []


def test_equal_vms_compare_hashes_only():
    machine, first, second = pair()
    for number in range(500):
        for node in (first, second):
            node.register.offer(
                PublishedValue(f'k{number}', Revision(0, 1), b'')
            )
    assert first.links.exchange(second.address)
    assert [len(message) < 500 for _, _, message in machine.sent] == [True]


def test_a_refusal_by_another_vm_does_not_block_a_valid_value():
    _, first, _ = pair()
    key = f'{DOCUMENT_PREFIX}a'
    first.register.record_peer_refusal(
        key, Refusal(Revision(0, 4), 'an older program')
    )
    assert first.register.offer(
        PublishedValue(key, Revision(0, 4), b'{"service":"a"}')
    )
    assert first.register.refusals([key]) == {}


@pytest.mark.parametrize(
    'revision', [Revision(0, 2**64), Revision(0, 10**40), Revision(3, 4)]
)
def test_a_revision_that_no_integer_field_holds_reaches_other_vms(revision):
    _, first, second = pair()
    key = f'{DOCUMENT_PREFIX}a'
    first.register.offer(PublishedValue(key, revision, b'{"service":"a"}'))
    first.register.record_peer_refusal('k', Refusal(revision, 'told'))
    assert second.links.exchange(first.address)
    assert second.register.digest() == first.register.digest()
    assert second.register.hash() == first.register.hash()
