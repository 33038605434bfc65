"""Carries attempts to searchers over connections that are kept."""

import socket
from functools import partial

from basilwall.forwarding.codec import AttemptCodec
from basilwall.forwarding.connection import SearcherConnection
from basilwall.forwarding.exchange import Exchange
from basilwall.forwarding.leftovers import Leftovers
from basilwall.forwarding.pools import Pools
from basilwall.forwarding.transport import Transport
from basilwall.forwarding.waiting import Waiter
from basilwall.parts.clock import Clock
from basilwall.records.forwarding import Call
from basilwall.records.searcher import Searcher
from basilwall.routing.deployment import Deployment
from basilwall.routing.placing import Placing


class SocketTransport(Transport[Exchange]):
    """Attempts over the pools of connections."""

    def __init__(
        self,
        deployment: Deployment,
        placing: Placing,
        pools: Pools[SearcherConnection],
        codec: AttemptCodec,
        clock: Clock,
    ) -> None:
        self.leftovers = Leftovers(placing, self.end, clock)
        self._deployment = deployment
        self._pools = pools
        self._codec = codec
        self._clock = clock

    def waiting(self, caller: socket.socket | None) -> Waiter:
        """Return what a request waits with, watching its caller if given."""
        return Waiter(caller)

    def begin(
        self, call: Call, searcher: Searcher, deadline: float
    ) -> Exchange:
        """Prepare an attempt on a kept connection, or on a new one."""
        return Exchange(
            call,
            self._pools.checkout(searcher),
            self._codec,
            self._clock,
            deadline,
            partial(self._deployment.is_usable, searcher),
        )

    def end(self, attempt: Exchange) -> None:
        """Keep the connection of an attempt that ended, if it can be kept."""
        if attempt.can_keep:
            self._pools.give_back(attempt.connection)
        else:
            self._pools.discard(attempt.connection)

    def leave(self, attempt: Exchange, number: int) -> None:
        """Wait a little for a reply that the request needs no more."""
        self.leftovers.take(attempt, number)
