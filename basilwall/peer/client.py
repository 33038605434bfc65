"""Calls to other VMs over gRPC, with one channel per VM."""

import threading
from collections.abc import Callable
from typing import TYPE_CHECKING, TypeVar

import grpc

from basilwall.order.handler import OrderForwarder, OrderRequest
from basilwall.parts.clock import Clock
from basilwall.parts.membership import Membership
from basilwall.peer.generated import peer_pb2, peer_pb2_grpc
from basilwall.peer.outcomes import outcome_from_wire
from basilwall.records.ids import VmAddress
from basilwall.records.order import OrderOutcome, OrderState, Ticket

MS_PER_SECOND = 1000
#: Limits on asking peers for an outcome that a stopped VM handed over.
MAX_ASKED_PEERS = 17
ASK_TIMEOUT_SECONDS = 0.5
#: Largest message; a published value of 1 MB and its framing fit in.
MAX_MESSAGE_BYTES = 4_194_304
CHANNEL_OPTIONS = (
    ('grpc.max_receive_message_length', MAX_MESSAGE_BYTES),
    ('grpc.max_send_message_length', MAX_MESSAGE_BYTES),
    ('grpc.initial_reconnect_backoff_ms', 200),
    ('grpc.max_reconnect_backoff_ms', 2000),
    ('grpc.enable_http_proxy', 0),
    # Without it a new channel inherits the backoff of the channel before.
    ('grpc.use_local_subchannel_pool', 1),
)

ReplyT = TypeVar('ReplyT')
if TYPE_CHECKING:
    _Reply = grpc.Future[peer_pb2.ForwardReply]


class PeerError(Exception):
    """A peer gave no answer; it may or may not have received the call."""


class PeerClients:
    """Channels to other VMs, opened on first use."""

    def __init__(self) -> None:
        self._channel_by_address: dict[VmAddress, grpc.Channel] = {}
        self._lock = threading.Lock()

    def stub(self, address: VmAddress) -> peer_pb2_grpc.PeerStub:
        """Return the stub of the VM at `address`, opening its channel."""
        with self._lock:
            channel = self._channel_by_address.get(address)
            if channel is None:
                channel = grpc.insecure_channel(address, CHANNEL_OPTIONS)
                self._channel_by_address[address] = channel
        return peer_pb2_grpc.PeerStub(channel)

    def close_channel(self, address: VmAddress) -> None:
        """Close the channel to a VM; the next call opens a new one."""
        with self._lock:
            channel = self._channel_by_address.pop(address, None)
        if channel is not None:
            channel.close()

    def close(self) -> None:
        """Close all channels."""
        for address in tuple(self._channel_by_address):
            self.close_channel(address)


def call_peer(method: Callable[[], ReplyT]) -> ReplyT:
    """Make one call and convert gRPC errors to `PeerError`.

    Args:
        method: The call with its arguments bound.

    Returns:
        The reply.

    Raises:
        PeerError: If there was no reply.
    """
    try:
        return method()
    except grpc.RpcError as error:
        raise PeerError(str(error.code())) from error
    except (ValueError, grpc.FutureCancelledError) as error:
        # gRPC raises these if the channel was closed during the call.
        raise PeerError(str(error)) from error


class GrpcForwarder(OrderForwarder):
    """Forwards orders to the VMs that own their tickets, over gRPC."""

    def __init__(
        self,
        clients: PeerClients,
        membership: Membership,
        clock: Clock,
    ) -> None:
        self._clients = clients
        self._membership = membership
        self._clock = clock

    def forward(
        self,
        request: OrderRequest,
        ticket: Ticket,
    ) -> OrderOutcome | None:
        """Forward an order; None if the owner gave no answer in time."""
        time_left = request.deadline - self._clock.monotonic()
        if time_left <= 0:
            return None
        outcome = self._forward_once(request, ticket.owner, time_left)
        if outcome is not None or not self._is_alive(ticket.owner):
            return outcome
        # The channel may be in backoff though the owner is alive. A second
        # call is safe, because the owner runs a ticket at most once.
        self._clients.close_channel(ticket.owner)
        time_left = request.deadline - self._clock.monotonic()
        return self._forward_once(request, ticket.owner, max(time_left, 0))

    def ask_peers(self, request: OrderRequest) -> OrderOutcome | None:
        """Ask peers in parallel; None if none has the outcome in time.

        Peers that are only listed are asked too, because a VM that has just
        started has not heard from any peer yet.
        """
        time_left = min(
            request.deadline - self._clock.monotonic(), ASK_TIMEOUT_SECONDS
        )
        if time_left <= 0:
            return None
        message = _forward_request(request, time_left)
        pending_replies = [
            self._start_call(address, message, time_left)
            for address in self._membership.peers()[:MAX_ASKED_PEERS]
        ]
        outcomes = (_conclusive_outcome(reply) for reply in pending_replies)
        return next(
            (outcome for outcome in outcomes if outcome is not None), None
        )

    def _forward_once(
        self,
        request: OrderRequest,
        owner: VmAddress,
        time_left: float,
    ) -> OrderOutcome | None:
        message = _forward_request(request, time_left)
        stub = self._clients.stub(owner)
        try:
            reply = call_peer(lambda: stub.Forward(message, timeout=time_left))
        except PeerError:
            return None
        return outcome_from_wire(reply)

    def _is_alive(self, owner: VmAddress) -> bool:
        alive = self._membership.live_members()
        return any(member.address == owner for member in alive)

    def _start_call(
        self,
        address: VmAddress,
        message: peer_pb2.ForwardRequest,
        timeout: float,
    ) -> '_Reply | None':
        stub = self._clients.stub(address)
        try:
            reply: _Reply = call_peer(
                lambda: stub.Forward.future(
                    message,
                    timeout=timeout,
                    wait_for_ready=True,
                ),
            )
        except PeerError:
            return None
        return reply


def _forward_request(
    request: OrderRequest, time_left: float
) -> peer_pb2.ForwardRequest:
    return peer_pb2.ForwardRequest(
        service=request.service,
        ticket=request.ticket,
        body=request.body,
        timeout_ms=int(time_left * MS_PER_SECOND),
        request_id=request.request_id,
    )


def _conclusive_outcome(reply: '_Reply | None') -> OrderOutcome | None:
    """Return the outcome in a reply, or None if it is UNKNOWN or absent."""
    if reply is None:
        return None
    try:
        outcome = outcome_from_wire(call_peer(reply.result))
    except PeerError:
        return None
    return None if outcome.state is OrderState.UNKNOWN else outcome
