"""The calls that other VMs make to this one."""

from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager

import grpc

from basilwall.order.handler import OrderHandler, OrderRequest
from basilwall.parts.clock import Clock
from basilwall.parts.handovers import Handovers
from basilwall.peer.client import CHANNEL_OPTIONS
from basilwall.peer.generated import peer_pb2, peer_pb2_grpc
from basilwall.peer.gossip import MS_PER_SECOND, GossipProtocol
from basilwall.peer.handover_messages import handover_from_wire
from basilwall.peer.outcomes import outcome_to_wire
from basilwall.records.ids import RequestId, ServiceName

SERVER_THREADS = 32
#: Beyond this many calls at once the library refuses, before any runs.
MAX_CONCURRENT_CALLS = 256
STOP_GRACE_SECONDS = 5.0


class PeerService(peer_pb2_grpc.PeerServicer):  # type: ignore[misc]
    """Answers exchange, forwarded orders and handovers."""

    def __init__(
        self,
        gossip: GossipProtocol,
        order_handler: OrderHandler,
        handovers: Handovers,
        clock: Clock,
    ) -> None:
        self._gossip = gossip
        self._order_handler = order_handler
        self._handovers = handovers
        self._clock = clock

    def Exchange(  # noqa: N802
        self,
        request: peer_pb2.ExchangeRequest,
        context: grpc.ServicerContext,
    ) -> peer_pb2.ExchangeReply:
        """Take in what the caller knows and return what it lacks."""
        return self._gossip.handle_exchange(request)

    def Push(  # noqa: N802
        self,
        request: peer_pb2.PushRequest,
        context: grpc.ServicerContext,
    ) -> peer_pb2.PushReply:
        """Take in values that this VM asked for."""
        self._gossip.apply(request.sender, request.facts)
        return peer_pb2.PushReply()

    def Forward(  # noqa: N802
        self,
        request: peer_pb2.ForwardRequest,
        context: grpc.ServicerContext,
    ) -> peer_pb2.ForwardReply:
        """Run an order whose ticket this VM minted, or say what is known."""
        left = request.timeout_ms / MS_PER_SECOND
        # Counts the time in this server's queue too.
        remaining = context.time_remaining()
        if remaining is not None:
            left = min(left, remaining)
        outcome = self._order_handler.handle_forwarded(
            OrderRequest(
                RequestId(request.request_id),
                ServiceName(request.service),
                request.ticket,
                request.body,
                self._clock.monotonic() + left,
            ),
        )
        return outcome_to_wire(outcome)

    def HandOver(  # noqa: N802
        self,
        request: peer_pb2.HandOverRequest,
        context: grpc.ServicerContext,
    ) -> peer_pb2.HandOverReply:
        """Keep the outcomes that a stopping VM leaves."""
        now = self._clock.monotonic()
        self._handovers.store(handover_from_wire(request, now))
        return peer_pb2.HandOverReply(kept=True)


@contextmanager
def peer_server(service: PeerService, address: str) -> Iterator[grpc.Server]:
    """Serve other VMs for the length of a block.

    Args:
        service: The calls.
        address: Where to listen.

    Yields:
        The running server.

    Raises:
        RuntimeError: If the address cannot be bound.
    """
    pool = ThreadPoolExecutor(SERVER_THREADS, thread_name_prefix='peer-call')
    server = grpc.server(
        pool,
        options=(*CHANNEL_OPTIONS, ('grpc.so_reuseport', 0)),
        maximum_concurrent_rpcs=MAX_CONCURRENT_CALLS,
    )
    peer_pb2_grpc.add_PeerServicer_to_server(service, server)
    server.add_insecure_port(address)
    server.start()
    try:
        yield server
    finally:
        server.stop(STOP_GRACE_SECONDS).wait()
        pool.shutdown(wait=True)
