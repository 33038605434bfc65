"""Links to peers: one task per peer exchanges gossip with it periodically.

New state wakes all links, so that it is sent at once. Periodic exchanges repair
what a lost message left out. Their total rate over all links is fixed, so that
their cost does not grow with the fleet. Hashes are compared first, so an
exchange between VMs with equal state costs a few hundred bytes for any number
of keys.

In a small fleet every VM links to every other. In a large one a VM keeps a few
random partners and replaces those that don't answer.
"""

import logging
import random
import threading
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from itertools import islice

from basilwall.parts.tasks import TaskGroup
from basilwall.peer.client import PeerClients, PeerError, call_peer
from basilwall.peer.generated import peer_pb2
from basilwall.peer.gossip import GossipProtocol
from basilwall.records.ids import VmAddress

#: Exchanges that a VM starts per second over all links together.
EXCHANGES_PER_SECOND = 2
#: Bounds of the time between two exchanges with one peer, before jitter.
MIN_INTERVAL_SECONDS = 1.0
MAX_INTERVAL_SECONDS = 4.0
MIN_JITTER_FACTOR = 0.8
MAX_JITTER_FACTOR = 1.2
CALL_TIMEOUT_SECONDS = 2.0
#: Time between two comparisons of the links with the membership.
RECONCILE_INTERVAL_SECONDS = 1.0
#: Up to this many peers are all linked; of more, `PARTNER_COUNT` random ones.
MAX_FULL_MESH_PEERS = 17
PARTNER_COUNT = 4
#: In a large fleet one partner is replaced after this many reconciliations.
RECONCILIATIONS_PER_REPLACEMENT = 30
#: Maximum number of requests of one exchange until this VM is up to date.
MAX_EXCHANGE_ROUNDS = 64

_log = logging.getLogger(__name__)


def _ignore_exchange_start(_: float) -> None:
    """Ignore when an exchange started."""


@dataclass(slots=True, eq=False)
class _Link:
    """One linked peer, the changed keys to send, and its exchange state."""

    address: VmAddress
    wake_event: threading.Event = field(default_factory=threading.Event)
    fresh_keys: set[str] = field(default_factory=set)
    is_tried: bool = False
    has_answered: bool = True
    is_ended: bool = False


class PeerLinks:
    """The gossip links of this VM to other VMs.

    `on_exchanged` is called after each answered exchange with the time of its
    start, in monotonic seconds.
    """

    def __init__(
        self,
        gossip: GossipProtocol,
        clients: PeerClients,
        tasks: TaskGroup,
        rng: random.Random,
        on_exchanged: Callable[[float], None] = _ignore_exchange_start,
    ) -> None:
        self._gossip = gossip
        self._clients = clients
        self._tasks = tasks
        self._rng = rng
        self._on_exchanged = on_exchanged
        self._link_by_address: dict[VmAddress, _Link] = {}
        self._reconcile_event = threading.Event()
        self._reconciliations = 0

    def run(self) -> None:
        """Keep the links equal to the membership until stopped."""
        stopping = self._tasks.stopping
        while not stopping.is_set():
            self._reconcile_event.clear()
            self._reconcile()
            self._reconcile_event.wait(RECONCILE_INTERVAL_SECONDS)
        self.notify_peers()

    def reconcile_soon(self) -> None:
        """Compare the links with the membership without further delay."""
        self._reconcile_event.set()

    def notify_peers(self, key: str = '') -> None:
        """Exchange on every link at once, with the digest of `key` if given."""
        for link in tuple(self._link_by_address.values()):
            if key:
                link.fresh_keys.add(key)
            link.wake_event.set()

    def has_tried_all_peers(self) -> bool:
        """Return whether an exchange was tried with all peers to be linked."""
        links = tuple(self._link_by_address.values())
        peers = self._gossip.membership.peers()
        count = (
            len(peers) if len(peers) <= MAX_FULL_MESH_PEERS else PARTNER_COUNT
        )
        return len(links) >= count and all(link.is_tried for link in links)

    def exchange(self, address: VmAddress, keys: tuple[str, ...] = ()) -> bool:
        """Exchange state with one peer.

        Args:
            address: The peer.
            keys: Keys that just changed here; their digest is sent first.

        Returns:
            True if the peer answered.
        """
        started_at = self._gossip.leaving_searchers.now()
        try:
            reply = self._exchange_once(
                address, self._gossip.build_request(keys)
            )
            if reply.differs:
                self._exchange_full_digests(address)
        except PeerError as error:
            _log.info('peer not reached', extra={'error': str(error)})
            return False
        self._on_exchanged(started_at)
        return True

    def _exchange_full_digests(self, address: VmAddress) -> None:
        for _ in range(MAX_EXCHANGE_ROUNDS):
            reply = self._exchange_once(
                address, self._gossip.build_request(whole=True)
            )
            if not reply.more:
                return

    def _exchange_once(
        self,
        address: VmAddress,
        request: peer_pb2.ExchangeRequest,
    ) -> peer_pb2.ExchangeReply:
        stub = self._clients.stub(address)
        reply: peer_pb2.ExchangeReply = call_peer(
            partial(stub.Exchange, request, timeout=CALL_TIMEOUT_SECONDS),
        )
        self._gossip.apply(reply.sender, reply.facts)
        if reply.wanted:
            for push in self._gossip.build_pushes(reply.wanted):
                call_peer(
                    partial(stub.Push, push, timeout=CALL_TIMEOUT_SECONDS)
                )
        return reply

    def _reconcile(self) -> None:
        wanted = self._addresses_to_link()
        for address in self._link_by_address.keys() - wanted:
            link = self._link_by_address.pop(address)
            link.is_ended = True
            link.wake_event.set()
        for address in wanted - self._link_by_address.keys():
            link = _Link(address)
            self._link_by_address[address] = link
            self._tasks.start_loop(partial(self._run_link, link))

    def _addresses_to_link(self) -> set[VmAddress]:
        """Return all peers, or the random partners in a large fleet."""
        peers = self._gossip.membership.peers()
        if len(peers) <= MAX_FULL_MESH_PEERS:
            return set(peers)
        partners = [
            link.address
            for link in self._link_by_address.values()
            if link.has_answered and link.address in peers
        ]
        self._reconciliations += 1
        if self._reconciliations % RECONCILIATIONS_PER_REPLACEMENT == 0:
            partners = partners[1:]
        candidates = self._rng.sample(peers, PARTNER_COUNT * 2)
        others = (address for address in candidates if address not in partners)
        return {
            *partners[:PARTNER_COUNT],
            *islice(others, max(PARTNER_COUNT - len(partners), 0)),
        }

    def _next_interval(self) -> float:
        """Return the jittered time to the next exchange, in seconds."""
        even_interval = len(self._link_by_address) / EXCHANGES_PER_SECOND
        interval = min(
            max(even_interval, MIN_INTERVAL_SECONDS), MAX_INTERVAL_SECONDS
        )
        return interval * self._rng.uniform(
            MIN_JITTER_FACTOR, MAX_JITTER_FACTOR
        )

    def _run_link(self, link: _Link) -> None:
        while not (link.is_ended or self._tasks.stopping.is_set()):
            link.wake_event.clear()
            link.has_answered = self.exchange(
                link.address, _pop_fresh_keys(link)
            )
            link.is_tried = True
            link.wake_event.wait(self._next_interval())
        self._clients.close_channel(link.address)


def _pop_fresh_keys(link: _Link) -> tuple[str, ...]:
    keys: list[str] = []
    while link.fresh_keys:
        keys.append(link.fresh_keys.pop())
    return tuple(keys)
