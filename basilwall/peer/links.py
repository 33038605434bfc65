"""One task for each peer: it compares notes with that peer each second.

A fresh fact wakes all links, so that it travels at once; the exchange each
second repairs whatever a lost message left out.
"""

import logging
import random
import threading
from dataclasses import dataclass, field
from functools import partial

from basilwall.parts.tasks import TaskGroup
from basilwall.peer.client import PeerClients, PeerError, call
from basilwall.peer.facts import Facts
from basilwall.peer.generated import peer_pb2
from basilwall.records.ids import VmAddress

#: Time between two exchanges with one peer, in seconds.
INTERVAL = 1.0
LEAST_JITTER = 0.8
MOST_JITTER = 1.2
CALL_TIMEOUT = 2.0
#: Peers talked to at once; of a larger fleet a random choice is made.
MAX_LINKS = 17

_log = logging.getLogger(__name__)


@dataclass(slots=True, eq=False)
class _Link:
    address: VmAddress
    wake: threading.Event = field(default_factory=threading.Event)
    ended: bool = False


class PeerLinks:
    """The links of this VM to other VMs."""

    def __init__(
        self,
        facts: Facts,
        clients: PeerClients,
        tasks: TaskGroup,
        source: random.Random,
    ) -> None:
        self._facts = facts
        self._clients = clients
        self._tasks = tasks
        self._source = source
        self._link_by_address: dict[VmAddress, _Link] = {}

    def run(self) -> None:
        """Keep the links in step with the membership until stopped."""
        stopping = self._tasks.stopping
        while not stopping.is_set():
            self._follow()
            stopping.wait(INTERVAL)
        self.wake()

    def wake(self) -> None:
        """Make every link exchange at once."""
        for link in tuple(self._link_by_address.values()):
            link.wake.set()

    def exchange(self, address: VmAddress) -> bool:
        """Compare notes with one peer.

        Args:
            address: The peer.

        Returns:
            True if the peer answered.
        """
        stub = self._clients.stub(address)
        facts = self._facts
        request = peer_pb2.ExchangeRequest(
            sender=facts.identity(),
            digest=facts.digest(),
            facts=facts.collect(),
        )
        try:
            reply = call(lambda: stub.Exchange(request, timeout=CALL_TIMEOUT))
        except PeerError:
            return False
        facts.take(reply.sender, reply.facts)
        if reply.wanted:
            self._push(address, list(reply.wanted))
        return True

    def _push(self, address: VmAddress, wanted: list[str]) -> None:
        stub = self._clients.stub(address)
        request = peer_pb2.PushRequest(
            sender=self._facts.identity(),
            facts=self._facts.collect(self._facts.register.pick(wanted)),
        )
        try:
            call(lambda: stub.Push(request, timeout=CALL_TIMEOUT))
        except PeerError as error:
            _log.info('push lost', extra={'error': str(error)})

    def _follow(self) -> None:
        wanted = self._facts.membership.peers()
        if len(wanted) > MAX_LINKS:
            wanted = self._source.sample(wanted, MAX_LINKS)
        for address in self._link_by_address.keys() - set(wanted):
            link = self._link_by_address.pop(address)
            link.ended = True
            link.wake.set()
        for address in set(wanted) - self._link_by_address.keys():
            link = _Link(address)
            self._link_by_address[address] = link
            self._tasks.start(partial(self._serve, link))

    def _pause(self) -> float:
        return INTERVAL * self._source.uniform(LEAST_JITTER, MOST_JITTER)

    def _serve(self, link: _Link) -> None:
        while not (link.ended or self._tasks.stopping.is_set()):
            link.wake.clear()
            self.exchange(link.address)
            link.wake.wait(self._pause())
        self._clients.drop(link.address)
