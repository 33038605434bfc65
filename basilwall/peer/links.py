"""One task for each peer: it compares notes with that peer now and then.

A fresh fact wakes all links, so that it travels at once. Whatever a lost
message left out is repaired by exchanges, a fixed number a second over all
links together, so that their cost does not grow with the fleet. Hashes are
compared first, so an exchange between VMs that know the same costs a few
hundred bytes however many keys there are.

A small fleet is linked each to each. In a large one a VM keeps a few partners
drawn at random, and draws others in place of those that don't answer.
"""

import logging
import random
import threading
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from itertools import islice

from basilwall.parts.tasks import TaskGroup
from basilwall.peer.client import PeerClients, PeerError, call
from basilwall.peer.facts import Facts
from basilwall.peer.generated import peer_pb2
from basilwall.records.ids import VmAddress

#: Exchanges that a VM begins over all links together, a second.
EXCHANGES_A_SECOND = 2
#: Bounds of the time between two exchanges with one peer, in seconds.
SHORTEST_INTERVAL = 1.0
LONGEST_INTERVAL = 4.0
LEAST_JITTER = 0.8
MOST_JITTER = 1.2
CALL_TIMEOUT = 2.0
#: Time between two looks at the membership, in seconds.
FOLLOW_EVERY = 1.0
#: Up to this many peers are all linked; of more a few partners are drawn.
MAX_LINKS = 17
PARTNERS = 4
#: In a large fleet one partner is replaced this often, in follow-ups.
FOLLOW_UPS_A_PARTNER = 30
#: Most steps in which one exchange takes in what this VM lacks.
MAX_STEPS = 64

_log = logging.getLogger(__name__)


def _tell_nobody(_: float) -> None:
    """Pass over that a peer was asked."""


@dataclass(slots=True, eq=False)
class _Link:
    address: VmAddress
    wake: threading.Event = field(default_factory=threading.Event)
    fresh_keys: set[str] = field(default_factory=set)
    tried: bool = False
    answered: bool = True
    ended: bool = False


class PeerLinks:
    """The links of this VM to other VMs."""

    def __init__(
        self,
        facts: Facts,
        clients: PeerClients,
        tasks: TaskGroup,
        source: random.Random,
        note_read: Callable[[float], None] = _tell_nobody,
    ) -> None:
        self._facts = facts
        self._clients = clients
        self._tasks = tasks
        self._source = source
        self._note_read = note_read
        self._link_by_address: dict[VmAddress, _Link] = {}
        self._changed = threading.Event()
        self._follow_ups = 0

    def run(self) -> None:
        """Keep the links in step with the membership until stopped."""
        stopping = self._tasks.stopping
        while not stopping.is_set():
            self._changed.clear()
            self._follow()
            self._changed.wait(FOLLOW_EVERY)
        self.wake()

    def follow(self) -> None:
        """Bring the links in step with the membership at once."""
        self._changed.set()

    def wake(self, key: str = '') -> None:
        """Make every link exchange at once, with news of `key` if given."""
        for link in tuple(self._link_by_address.values()):
            if key:
                link.fresh_keys.add(key)
            link.wake.set()

    def is_settled(self) -> bool:
        """Return whether all peers to be linked were asked once."""
        links = tuple(self._link_by_address.values())
        peers = self._facts.membership.peers()
        count = len(peers) if len(peers) <= MAX_LINKS else PARTNERS
        return len(links) >= count and all(link.tried for link in links)

    def exchange(self, address: VmAddress, keys: tuple[str, ...] = ()) -> bool:
        """Compare notes with one peer.

        Args:
            address: The peer.
            keys: Keys that just changed here; told ahead of all others.

        Returns:
            True if the peer answered.
        """
        began_at = self._facts.departures.now()
        try:
            reply = self._ask(address, self._facts.request(keys))
            if reply.differs:
                self._exchange_whole(address)
        except PeerError as error:
            _log.info('peer not reached', extra={'error': str(error)})
            return False
        self._note_read(began_at)
        return True

    def _exchange_whole(self, address: VmAddress) -> None:
        for _ in range(MAX_STEPS):
            reply = self._ask(address, self._facts.request(whole=True))
            if not reply.more:
                return

    def _ask(
        self,
        address: VmAddress,
        request: peer_pb2.ExchangeRequest,
    ) -> peer_pb2.ExchangeReply:
        stub = self._clients.stub(address)
        reply: peer_pb2.ExchangeReply = call(
            partial(stub.Exchange, request, timeout=CALL_TIMEOUT),
        )
        self._facts.take(reply.sender, reply.facts)
        if reply.wanted:
            for push in self._facts.pushes(reply.wanted):
                call(partial(stub.Push, push, timeout=CALL_TIMEOUT))
        return reply

    def _follow(self) -> None:
        wanted = self._wanted()
        for address in self._link_by_address.keys() - wanted:
            link = self._link_by_address.pop(address)
            link.ended = True
            link.wake.set()
        for address in wanted - self._link_by_address.keys():
            link = _Link(address)
            self._link_by_address[address] = link
            self._tasks.start(partial(self._serve, link))

    def _wanted(self) -> set[VmAddress]:
        peers = self._facts.membership.peers()
        if len(peers) <= MAX_LINKS:
            return set(peers)
        kept = [
            link.address
            for link in self._link_by_address.values()
            if link.answered and link.address in peers
        ]
        self._follow_ups += 1
        if self._follow_ups % FOLLOW_UPS_A_PARTNER == 0:
            kept = kept[1:]
        drawn = self._source.sample(peers, PARTNERS * 2)
        others = (address for address in drawn if address not in kept)
        return {*kept[:PARTNERS], *islice(others, max(PARTNERS - len(kept), 0))}

    def _pause(self) -> float:
        even = len(self._link_by_address) / EXCHANGES_A_SECOND
        interval = min(max(even, SHORTEST_INTERVAL), LONGEST_INTERVAL)
        return interval * self._source.uniform(LEAST_JITTER, MOST_JITTER)

    def _serve(self, link: _Link) -> None:
        while not (link.ended or self._tasks.stopping.is_set()):
            link.wake.clear()
            link.answered = self.exchange(link.address, _taken(link))
            link.tried = True
            link.wake.wait(self._pause())
        self._clients.drop(link.address)


def _taken(link: _Link) -> tuple[str, ...]:
    keys: list[str] = []
    while link.fresh_keys:
        keys.append(link.fresh_keys.pop())
    return tuple(keys)
