"""Several VMs over a carrier that fails, against the highest good revision.

The carrier stands in for gRPC and nothing else: links, facts, register, state
and watches are the real ones. Messages are lost, held and given out again; the
platform has two addresses, each with its own lag and outages.
"""

import random
from itertools import permutations

import grpc
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

COUNT = 3
SEARCHER = '10.1.0.1:9'
VMS = st.integers(min_value=0, max_value=COUNT - 1)
KEYS = st.sampled_from([f'{DOCUMENT_PREFIX}one', f'{DOCUMENT_PREFIX}two'])
GOOD, BAD = True, False


class Lost(grpc.RpcError):
    """A call without a reply."""

    def code(self):
        """Return the code of the library."""
        return grpc.StatusCode.UNAVAILABLE


class Address:
    """One address of the platform: down, or behind by some revisions."""

    def __init__(self, published):
        self.published, self.behind, self.down = published, 0, False

    def watch(self, after):
        """Return what this address shows above a revision."""
        if self.down:
            raise PlatformError('down')
        seen = len(self.published) - self.behind
        newest = {one.key: one for one in self.published[: max(seen, 0)]}
        values = [one for one in newest.values() if one.revision > after]
        return WatchReply(max(seen, 0), tuple(values))


class Node:
    """One VM, as the composition root makes it."""

    def __init__(self, number, incarnation, world):
        clock, source = world.clock, random.Random(number)
        name = f'{number}.{incarnation}'
        self.address = f'10.0.0.{number}:1'
        self.state = PlatformState()
        self.register = RevisionRegister(self.state.apply)
        self.departures = LeavingSearchers(clock, name)
        self.facts = GossipProtocol(
            self.register,
            self.departures,
            Quarantine(clock),
            Membership(Member(self.address, name), clock),
            source,
        )
        self.links = PeerLinks(
            self.facts,
            Wire(self.address, world),
            TaskGroup('unused'),
            source,
        )
        self.watches = [
            PlatformWatch(one, self.register, clock, source)
            for one in world.platform
        ]

    def revisions(self):
        """Return the revision in force of each key."""
        digest = self.register.digest()
        return {key: one.revision for key, one in digest.items()}


class Wire:
    """The calls from one VM to the others."""

    def __init__(self, sender, world):
        self.sender, self.world = sender, world

    def stub(self, address):
        """Return the calls of one VM."""
        return Calls(self.sender, address, self.world)


class Calls:
    """Calls from one VM to another, over bytes as on the wire."""

    def __init__(self, sender, receiver, world):
        self.ends = frozenset((sender, receiver))
        self.receiver, self.world = receiver, world

    def Exchange(self, request, timeout):  # noqa: N802
        """Carry an exchange."""
        return self._carry(request, 'answer')

    def Push(self, request, timeout):  # noqa: N802
        """Carry a push."""
        return self._carry(request, 'push')

    def _carry(self, request, kind):
        world = self.world
        if self.ends in world.cut or world.lose_next('request'):
            raise Lost
        world.sent.append((self.receiver, kind, request.SerializeToString()))
        reply = world.deliver(*world.sent[-1])
        if world.lose_next('reply'):
            raise Lost
        return reply


class FactsMachine(RuleBasedStateMachine):
    """VMs that learn from two addresses of the platform and each other."""

    @initialize()
    def start(self):
        self.clock, self.published = ManualClock(), []
        self.platform = [Address(self.published), Address(self.published)]
        self.cut, self.sent, self.losing = set(), [], []
        self.newest, self.marked_at = {}, None
        self.starts = COUNT
        self.nodes = [Node(number, 0, self) for number in range(COUNT)]
        self.floors = [{} for _ in self.nodes]

    def lose_next(self, part):
        if self.losing and self.losing[0] == part:
            self.losing.pop()
            return True
        return False

    def deliver(self, receiver, kind, message):
        facts = next(one.facts for one in self.nodes if one.address == receiver)
        if kind == 'answer':
            request = peer_pb2.ExchangeRequest.FromString(message)
            return facts.handle_exchange(request)
        push = peer_pb2.PushRequest.FromString(message)
        facts.apply(push.sender, push.facts)
        return peer_pb2.PushReply()

    @rule(key=KEYS, goods=st.lists(st.booleans(), min_size=1, max_size=3))
    def publish(self, key, goods):
        """Operators publish, at times several before anybody reads."""
        for good in goods:
            revision = len(self.published) + 1
            service = key.removeprefix(DOCUMENT_PREFIX) if good else 'misplaced'
            body = f'{{"service": "{service}", "deadline_ms": {revision + 5}}}'
            value = PublishedValue(key, revision, body.encode())
            self.published.append(value)
            self.newest[key] = (revision, good)

    @rule(place=st.integers(0, 1), behind=st.integers(0, 4), down=st.booleans())
    def disturb_platform(self, place, behind, down):
        self.platform[place].behind = behind
        self.platform[place].down = down

    @rule(number=VMS, place=st.integers(0, 1))
    def read(self, number, place):
        self.nodes[number].watches[place].read()

    @rule(one=VMS, two=VMS, whole=st.booleans())
    def exchange(self, one, two, whole):
        if one != two:
            keys = () if whole else (f'{DOCUMENT_PREFIX}one',)
            self.nodes[one].links.exchange(self.nodes[two].address, keys)

    @rule(part=st.sampled_from(['request', 'reply']))
    def lose(self, part):
        self.losing = [part]

    @rule(one=VMS, two=VMS, cut=st.booleans())
    def partition(self, one, two, cut):
        ends = frozenset((self.nodes[one].address, self.nodes[two].address))
        (self.cut.add if cut else self.cut.discard)(ends)

    @rule(place=st.integers(0, 30))
    def deliver_again(self, place):
        """A copy of a message arrives late, up to the timeout of a call."""
        if place < len(self.sent):
            self.deliver(*self.sent[place])

    @rule(number=VMS)
    def restart(self, number):
        """A VM starts anew with nothing, and becomes ready as it would."""
        self.starts += 1
        node = Node(number, self.starts, self)
        self.nodes[number] = node
        self.losing = []
        for watch in node.watches:
            watch.read()
        peers = [one for one in self.nodes if one is not node]
        near = [
            one
            for one in peers
            if frozenset((one.address, node.address)) not in self.cut
        ]
        for peer in near:
            assert node.links.exchange(peer.address)
        floor = {}
        for peer in near:
            for key, revision in peer.revisions().items():
                floor[key] = max(revision, floor.get(key, 0))
        self.floors[number] = floor

    @rule(number=VMS)
    def report_leaving(self, number):
        """A searcher shows a VM a sign of leaving; all know a round later."""
        self.nodes[number].departures.report_leaving(SEARCHER)
        self.marked_at = self.clock.monotonic()
        address = self.nodes[number].address
        for peer in self.nodes:
            ends = frozenset((peer.address, address))
            if len(ends) == 2 and ends not in self.cut and not self.losing:
                self.nodes[number].links.exchange(peer.address)
                assert peer.departures.is_leaving(SEARCHER)

    @rule(seconds=st.floats(0, 20))
    def wait(self, seconds):
        self.clock.advance(seconds)
        if seconds > CALL_TIMEOUT_SECONDS:
            self.sent.clear()

    @rule()
    def live_and_connected(self):
        """All is well for one round: all have the highest accepted revision.

        Accepted is what any living VM holds, and what the platform shows if
        it is good. A good value that was replaced by a bad one before any VM
        read it was never accepted.
        """
        accepted = {}
        for node in self.nodes:
            for key, held in node.revisions().items():
                accepted[key] = max(held, accepted.get(key, 0))
        for key, (revision, good) in self.newest.items():
            accepted[key] = revision if good else accepted.get(key, 0)
        self.cut.clear()
        self.losing = []
        for address in self.platform:
            address.behind, address.down = 0, False
        self.nodes[0].watches[0].read()
        for _ in range(2):
            for one, two in permutations(self.nodes, 2):
                assert one.links.exchange(two.address)
        for node in self.nodes:
            assert node.revisions() == accepted
            digest = node.register.digest()
            for key, (revision, good) in self.newest.items():
                refused = 0 if good else revision
                assert digest[key].refused == refused
        assert len({node.register.hash() for node in self.nodes}) == 1

    @invariant()
    def no_revision_in_force_falls(self):
        for number, node in enumerate(self.nodes):
            floor, held = self.floors[number], node.revisions()
            assert all(held.get(key, 0) >= floor[key] for key in floor)
            self.floors[number] = held

    @invariant()
    def in_force_is_what_was_published_under_its_revision(self):
        for node in self.nodes:
            held = {key: one for key, one in node.revisions().items() if one}
            in_force = {
                f'{DOCUMENT_PREFIX}{service}': document.deadline_ms - 5
                for service, document in node.state.document_by_service.items()
            }
            assert held == in_force

    @invariant()
    def signs_end_in_time(self):
        late = NOTICE_TTL_SECONDS + CALL_TIMEOUT_SECONDS * COUNT
        last = self.marked_at
        if last is None or self.clock.monotonic() - last > late:
            assert not any(
                node.departures.is_leaving(SEARCHER) for node in self.nodes
            )


TestFacts = FactsMachine.TestCase


def pair():
    machine = FactsMachine()
    machine.start()
    return machine, *machine.nodes[:2]


def test_messages_with_nonsense_disturb_nothing():
    _, one, _ = pair()
    one.register.offer(
        PublishedValue(f'{DOCUMENT_PREFIX}a', 1, b'{"service":"a"}')
    )
    before = one.register.hash()
    sender = peer_pb2.VmIdentity(address='nowhere', incarnation='x' * 999)
    one.facts.apply(
        sender,
        peer_pb2.Facts(
            members=[sender, peer_pb2.VmIdentity(address='/etc/x:1')],
            published=[
                peer_pb2.PublishedValue(
                    key=f'{DOCUMENT_PREFIX}a', revision=2**63
                ),
            ],
            refused=[peer_pb2.RefusedValue(key='k', revision=2**64 - 1)],
            leaving=[
                peer_pb2.LeavingSearcher(address='x' * 500),
                peer_pb2.LeavingSearcher(address=SEARCHER, age_ms=2**32 - 1),
                peer_pb2.LeavingSearcher(address=SEARCHER, observer='x' * 999),
            ],
        ),
    )
    assert one.register.hash() == before
    assert one.register.malformed == 2
    assert one.facts.malformed == 6
    assert not one.departures.notice_ages()
    assert one.facts.membership.peers() == []


def test_much_goes_over_in_small_messages():
    machine, one, two = pair()
    for number in range(5):
        body = bytes(900_000)
        two.register.offer(PublishedValue(f'far/{number}', 1, body))
        one.register.offer(PublishedValue(f'near/{number}', 1, body))
    assert one.links.exchange(two.address)
    assert one.register.hash() == two.register.hash()
    assert len(one.revisions()) == 10
    sizes = [len(message) for _, _, message in machine.sent]
    assert max(sizes) < MAX_VALUES_BYTES + 100_000


def test_steps_are_full_but_not_too_full():
    values = [
        PublishedValue(str(size), 1, bytes(size)) for size in (9, 2**20, 5)
    ]
    assert [len(step) for step in batches_by_size(values)] == [1, 1, 1]
    assert list(batches_by_size([])) == []


def test_equal_vms_compare_hashes_only():
    machine, one, two = pair()
    for number in range(500):
        for node in (one, two):
            node.register.offer(PublishedValue(f'k{number}', 1, b''))
    assert one.links.exchange(two.address)
    assert [len(message) < 500 for _, _, message in machine.sent] == [True]


def test_a_refusal_told_by_another_vm_stops_no_value_here():
    _, one, _ = pair()
    key = f'{DOCUMENT_PREFIX}a'
    one.register.record_peer_refusal(key, Refusal(4, 'an older program'))
    assert one.register.offer(PublishedValue(key, 4, b'{"service":"a"}'))
    assert one.register.refusals([key]) == {}
