"""Converts handovers to and from gRPC messages of bounded size."""

from collections.abc import Iterator

from basilwall.parts.handovers import OUTCOME_OVERHEAD_BYTES, Handover
from basilwall.peer.generated import peer_pb2
from basilwall.peer.outcomes import outcome_from_wire, ticket_outcome_to_wire
from basilwall.records.ids import Incarnation, VmAddress
from basilwall.records.order import (
    HandedOverOutcome,
    OrderOutcome,
    OrderReason,
    OrderState,
    Successor,
)

MS_PER_SECOND = 1000
#: Size of the outcomes in one message, which also limits a single outcome.
MAX_BATCH_BYTES = 1_048_576
OUTCOME_TOO_LARGE = OrderOutcome(OrderState.UNKNOWN, OrderReason.REPLY_LOST)

_Outcomes = list[peer_pb2.TicketOutcome]


def handover_to_wire(
    handover: Handover,
    now: float,
) -> list[peer_pb2.HandOverRequest]:
    """Return the messages that hand over the outcomes of one VM.

    Args:
        handover: The outcomes.
        now: Monotonic seconds.

    Returns:
        One or more messages; an outcome too large for a message is sent as
        UNKNOWN.
    """
    successor = handover.successor
    return [
        peer_pb2.HandOverRequest(
            owner=_identity_to_wire(handover.owner, handover.incarnation),
            outcomes=batch,
            keep_ms=int(max(handover.expires_at - now, 0) * MS_PER_SECOND),
            total=handover.total,
            forgotten_until_ms=int(handover.forgotten_until * MS_PER_SECOND),
            successor=(
                None
                if successor is None
                else _identity_to_wire(successor.owner, successor.incarnation)
            ),
        )
        for batch in _batches(handover)
    ]


def handover_from_wire(
    message: peer_pb2.HandOverRequest,
    now: float,
) -> Handover:
    """Return what one message hands over.

    Args:
        message: One of the messages of a VM.
        now: Monotonic seconds.

    Returns:
        A part of the handover, or all of it.
    """
    successor = None
    if message.HasField('successor'):
        successor = Successor(
            VmAddress(message.successor.address),
            Incarnation(message.successor.incarnation),
        )
    return Handover(
        owner=VmAddress(message.owner.address),
        incarnation=Incarnation(message.owner.incarnation),
        handed_by_number={
            ticket_outcome.number: HandedOverOutcome(
                ticket_outcome.fingerprint, outcome_from_wire(ticket_outcome)
            )
            for ticket_outcome in message.outcomes
        },
        total=message.total,
        forgotten_until=message.forgotten_until_ms / MS_PER_SECOND,
        successor=successor,
        expires_at=now + message.keep_ms / MS_PER_SECOND,
    )


def _batches(handover: Handover) -> Iterator[_Outcomes]:
    batch: _Outcomes = []
    size = 0
    for number, handed in handover.handed_by_number.items():
        cost = OUTCOME_OVERHEAD_BYTES + len(handed.outcome.body)
        if cost > MAX_BATCH_BYTES:
            handed = HandedOverOutcome(handed.fingerprint, OUTCOME_TOO_LARGE)
            cost = OUTCOME_OVERHEAD_BYTES
        if size + cost > MAX_BATCH_BYTES:
            yield batch
            batch, size = [], 0
        batch.append(ticket_outcome_to_wire(number, handed))
        size += cost
    yield batch


def _identity_to_wire(
    address: VmAddress,
    incarnation: Incarnation,
) -> peer_pb2.VmIdentity:
    return peer_pb2.VmIdentity(address=address, incarnation=incarnation)
