"""Kept connections to other VMs, for requests that are relayed to them."""

import threading
from collections import defaultdict

from basilwall.forwarding.connection import SearcherConnection
from basilwall.forwarding.reply_memory import ReplyMemory
from basilwall.parts.clock import Clock
from basilwall.parts.membership import Member
from basilwall.records.ids import SearcherAddress, SearcherId, ServiceName
from basilwall.records.searcher import Searcher

#: Idle connections that are kept to one VM.
MAX_IDLE_PER_VM = 8


class RelayConnections:
    """The idle connections to other VMs."""

    def __init__(self, clock: Clock, memory: ReplyMemory) -> None:
        #: Limits what all answers occupy together.
        self.memory = memory
        self._clock = clock
        self._idle_by_address: defaultdict[
            SearcherAddress, list[SearcherConnection]
        ] = defaultdict(list)
        self._lock = threading.Lock()

    def checkout(self, peer: Member) -> SearcherConnection:
        """Return an idle connection to a VM, or open a new one.

        A VM that leaves closes its idle connections, so none of them is used.
        """
        target = _as_searcher(peer)
        if peer.leaving:
            self._close_all(target.address)
        while True:
            with self._lock:
                idle = self._idle_by_address[target.address]
                connection = idle.pop() if idle else None
            if connection is None:
                return SearcherConnection(target, self._clock)
            is_usable = connection.usable_until > self._clock.monotonic()
            if is_usable and not connection.has_input():
                return connection
            connection.close()

    def release(
        self, connection: SearcherConnection, *, may_keep: bool
    ) -> None:
        """Keep a connection for the next request, or close it."""
        with self._lock:
            idle = self._idle_by_address[connection.searcher.address]
            if may_keep and len(idle) < MAX_IDLE_PER_VM:
                idle.append(connection)
                return
        connection.close()

    def close_idle(self) -> None:
        """Close the connections that have reached their idle timeout."""
        now = self._clock.monotonic()
        with self._lock:
            expired = [
                connection
                for idle in self._idle_by_address.values()
                for connection in idle
                if connection.usable_until <= now
            ]
            for address, idle in self._idle_by_address.items():
                self._idle_by_address[address] = [
                    connection
                    for connection in idle
                    if connection.usable_until > now
                ]
        for connection in expired:
            connection.close()

    def _close_all(self, address: SearcherAddress) -> None:
        with self._lock:
            closing = self._idle_by_address.pop(address, [])
        for connection in closing:
            connection.close()


def _as_searcher(peer: Member) -> Searcher:
    """Return a VM in the form in which connections name their target."""
    return Searcher(
        searcher_id=SearcherId(peer.relay_address),
        service=ServiceName('vm'),
        address=SearcherAddress(peer.relay_address),
        zone=peer.zone,
        slots=1,
        is_leaving=False,
        warmup_seconds=0,
        started_ms=0,
    )
