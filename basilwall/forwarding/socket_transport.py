"""Carries attempts to searchers over pooled connections."""

import socket
from collections.abc import Callable
from functools import partial

from basilwall.forwarding.codec import AttemptCodec
from basilwall.forwarding.connection import SearcherConnection
from basilwall.forwarding.connection_pools import ConnectionPools
from basilwall.forwarding.reply_memory import ReplyMemory
from basilwall.forwarding.socket_attempt import SocketAttempt
from basilwall.forwarding.socket_waiter import SocketWaiter
from basilwall.forwarding.superseded import SupersededAttempts
from basilwall.forwarding.transport import Transport
from basilwall.parts.clock import Clock
from basilwall.records.forwarding import Call
from basilwall.records.searcher import Searcher
from basilwall.routing.searcher_links import SearcherLinks


class SocketTransport(Transport[SocketAttempt]):
    """The transport over TCP connections from the pools."""

    def __init__(
        self,
        may_send: Callable[[Searcher], bool],
        pools: ConnectionPools[SearcherConnection],
        codec: AttemptCodec,
        links: SearcherLinks,
        memory: ReplyMemory,
        superseded: SupersededAttempts,
        clock: Clock,
    ) -> None:
        self.superseded = superseded
        superseded.release_connection = self.release_connection
        self._may_send = may_send
        self._pools = pools
        self._codec = codec
        self._links = links
        self._memory = memory
        self._clock = clock

    def make_waiter(self, caller: socket.socket | None) -> SocketWaiter:
        """Return a waiter that also watches the caller's socket, if given."""
        return SocketWaiter(caller)

    def prepare_attempt(
        self, call: Call, searcher: Searcher, deadline: float
    ) -> SocketAttempt:
        """Prepare an attempt on an idle connection, or on a new one."""
        self._links.record_started(searcher)
        return SocketAttempt(
            call,
            self._pools.checkout(searcher),
            self._codec,
            self._clock,
            deadline,
            partial(self._may_send, searcher),
            self._memory,
        )

    def prepare_connection(self, searcher: Searcher) -> None:
        """Begin to connect to a searcher that may get an attempt soon."""
        self._pools.prepare(searcher)

    def release_connection(self, attempt: SocketAttempt) -> None:
        """Return the connection of an ended attempt to its pool or close it."""
        attempt.close()
        if attempt.connection.connect_seconds is not None:
            self._links.record_connected()
        if attempt.outcome is not None:
            self._links.record_result(attempt.searcher, attempt.outcome)
        if attempt.may_keep_connection:
            self._pools.check_in(attempt.connection)
        else:
            self._pools.discard(attempt.connection)

    def supersede(self, attempt: SocketAttempt, attempt_number: int) -> None:
        """Wait a short time for a reply that is no longer needed."""
        self.superseded.add(attempt, attempt_number)
