"""Calls to other VMs over gRPC, one channel for each."""

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
#: Peers that are asked what a stopped VM left, and for how long, in seconds.
MAX_ASKED_PEERS = 17
ASK_TIMEOUT_SECONDS = 0.5
#: Largest message: a published value of 1 MB and its frame, in bytes.
MAX_MESSAGE_BYTES = 4_194_304
CHANNEL_OPTIONS = (
    ('grpc.max_receive_message_length', MAX_MESSAGE_BYTES),
    ('grpc.max_send_message_length', MAX_MESSAGE_BYTES),
    ('grpc.initial_reconnect_backoff_ms', 200),
    ('grpc.max_reconnect_backoff_ms', 2000),
    ('grpc.enable_http_proxy', 0),
    # A new channel must not take over the back-off of the one before.
    ('grpc.use_local_subchannel_pool', 1),
)

ReplyT = TypeVar('ReplyT')
if TYPE_CHECKING:
    _Reply = grpc.Future[peer_pb2.ForwardReply]


class PeerError(Exception):
    """A peer gave no answer; whether it took the call is not known."""


class PeerClients:
    """Channels to other VMs, opened on first use."""

    def __init__(self) -> None:
        self._channel_by_address: dict[VmAddress, grpc.Channel] = {}
        self._lock = threading.Lock()

    def stub(self, address: VmAddress) -> peer_pb2_grpc.PeerStub:
        """Return the calls of the VM at `address`."""
        with self._lock:
            channel = self._channel_by_address.get(address)
            if channel is None:
                channel = grpc.insecure_channel(address, CHANNEL_OPTIONS)
                self._channel_by_address[address] = channel
        return peer_pb2_grpc.PeerStub(channel)

    def close_channel(self, address: VmAddress) -> None:
        """Close the channel to a VM that is no longer talked to."""
        with self._lock:
            channel = self._channel_by_address.pop(address, None)
        if channel is not None:
            channel.close()

    def close(self) -> None:
        """Close all channels."""
        for address in tuple(self._channel_by_address):
            self.close_channel(address)


def call_peer(method: Callable[[], ReplyT]) -> ReplyT:
    """Make one call and turn the library's error into ours.

    Args:
        method: The call with its arguments bound.

    Returns:
        The reply.

    Raises:
        PeerError: If there was none.
    """
    try:
        return method()
    except grpc.RpcError as error:
        raise PeerError(str(error.code())) from error
    except (ValueError, grpc.FutureCancelledError) as error:
        # The library's answers if the channel was closed meanwhile.
        raise PeerError(str(error)) from error


class GrpcForwarder(OrderForwarder):
    """Passes orders on to the owners of their tickets."""

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
        """Pass an order on; None if the owner gave no answer in time."""
        left = request.deadline - self._clock.monotonic()
        if left <= 0:
            return None
        outcome = self._forward_once(request, ticket.owner, left)
        if outcome is not None or not self._is_alive(ticket.owner):
            return outcome
        # Its channel may still back off; asking twice does no harm.
        self._clients.close_channel(ticket.owner)
        left = request.deadline - self._clock.monotonic()
        return self._forward_once(request, ticket.owner, max(left, 0))

    def ask_peers(self, request: OrderRequest) -> OrderOutcome | None:
        """Ask all peers at once; None if no one knows in time.

        A VM that has just started has heard from nobody yet, so those that
        are only listed are asked too.
        """
        left = min(
            request.deadline - self._clock.monotonic(), ASK_TIMEOUT_SECONDS
        )
        if left <= 0:
            return None
        message = _forward_request(request, left)
        asked = [
            self._start_call(address, message, left)
            for address in self._membership.peers()[:MAX_ASKED_PEERS]
        ]
        known = (_conclusive_outcome(reply) for reply in asked)
        return next((one for one in known if one is not None), None)

    def _forward_once(
        self,
        request: OrderRequest,
        owner: VmAddress,
        left: float,
    ) -> OrderOutcome | None:
        message = _forward_request(request, left)
        stub = self._clients.stub(owner)
        try:
            reply = call_peer(lambda: stub.Forward(message, timeout=left))
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
    request: OrderRequest, left: float
) -> peer_pb2.ForwardRequest:
    return peer_pb2.ForwardRequest(
        service=request.service,
        ticket=request.ticket,
        body=request.body,
        timeout_ms=int(left * MS_PER_SECOND),
        request_id=request.request_id,
    )


def _conclusive_outcome(reply: '_Reply | None') -> OrderOutcome | None:
    if reply is None:
        return None
    try:
        outcome = outcome_from_wire(call_peer(reply.result))
    except PeerError:
        return None
    return None if outcome.state is OrderState.UNKNOWN else outcome
