"""gRPC server for the calls of other VMs."""

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
#: gRPC refuses further concurrent calls before they run.
MAX_CONCURRENT_CALLS = 256
STOP_GRACE_SECONDS = 5.0


class PeerService(peer_pb2_grpc.PeerServicer):  # type: ignore[misc]
    """Serves gossip exchanges, forwarded orders and handovers."""

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
        """Apply the caller's state and return the state that it lacks."""
        return self._gossip.handle_exchange(request)

    def Push(  # noqa: N802
        self,
        request: peer_pb2.PushRequest,
        context: grpc.ServicerContext,
    ) -> peer_pb2.PushReply:
        """Apply values that this VM asked for."""
        self._gossip.apply(request.sender, request.facts)
        return peer_pb2.PushReply()

    def Forward(  # noqa: N802
        self,
        request: peer_pb2.ForwardRequest,
        context: grpc.ServicerContext,
    ) -> peer_pb2.ForwardReply:
        """Run an order whose ticket this VM issued, or return its outcome."""
        time_left = request.timeout_ms / MS_PER_SECOND
        # gRPC's remaining time also counts the wait in this server's queue.
        remaining = context.time_remaining()
        if remaining is not None:
            time_left = min(time_left, remaining)
        outcome = self._order_handler.handle_forwarded(
            OrderRequest(
                RequestId(request.request_id),
                ServiceName(request.service),
                request.ticket,
                request.body,
                self._clock.monotonic() + time_left,
            ),
        )
        return outcome_to_wire(outcome)

    def HandOver(  # noqa: N802
        self,
        request: peer_pb2.HandOverRequest,
        context: grpc.ServicerContext,
    ) -> peer_pb2.HandOverReply:
        """Store the outcomes that a stopping VM hands over."""
        now = self._clock.monotonic()
        self._handovers.store(handover_from_wire(request, now))
        return peer_pb2.HandOverReply(kept=True)


@contextmanager
def peer_server(service: PeerService, address: str) -> Iterator[grpc.Server]:
    """Serve other VMs for the duration of a `with` block.

    Args:
        service: Handles the calls.
        address: The address to listen on, `host:port`.

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
