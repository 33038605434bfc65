"""Calls to other VMs over gRPC, one channel for each."""

import threading
from collections.abc import Callable
from typing import TypeVar

import grpc

from basilwall.order.desk import OrderForwarder, OrderRequest
from basilwall.parts.clock import Clock
from basilwall.peer.generated import peer_pb2, peer_pb2_grpc
from basilwall.peer.outcomes import outcome_from_wire
from basilwall.records.ids import VmAddress
from basilwall.records.order import OrderOutcome, Ticket

MILLISECONDS = 1000
#: Largest message: a published value of 1 MB and its frame, in bytes.
MAX_MESSAGE_BYTES = 4_194_304
CHANNEL_OPTIONS = (
    ('grpc.max_receive_message_length', MAX_MESSAGE_BYTES),
    ('grpc.max_send_message_length', MAX_MESSAGE_BYTES),
    ('grpc.initial_reconnect_backoff_ms', 200),
    ('grpc.max_reconnect_backoff_ms', 2000),
    ('grpc.enable_http_proxy', 0),
)

ReplyT = TypeVar('ReplyT')


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

    def drop(self, address: VmAddress) -> None:
        """Close the channel to a VM that is no longer talked to."""
        with self._lock:
            channel = self._channel_by_address.pop(address, None)
        if channel is not None:
            channel.close()

    def close(self) -> None:
        """Close all channels."""
        for address in tuple(self._channel_by_address):
            self.drop(address)


def call(method: Callable[[], ReplyT]) -> ReplyT:
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


class GrpcForwarder(OrderForwarder):
    """Passes orders on to the owners of their tickets."""

    def __init__(self, clients: PeerClients, clock: Clock) -> None:
        self._clients = clients
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
        message = peer_pb2.ForwardRequest(
            service=request.service,
            ticket=request.ticket,
            body=request.body,
            timeout_ms=int(left * MILLISECONDS),
            request_id=request.request_id,
        )
        stub = self._clients.stub(ticket.owner)
        try:
            reply = call(lambda: stub.Forward(message, timeout=left))
        except PeerError:
            return None
        return outcome_from_wire(reply)
