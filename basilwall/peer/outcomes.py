"""Converts order outcomes to and from gRPC messages."""

from dataclasses import replace

from basilwall.peer.generated import peer_pb2
from basilwall.records.order import (
    HandedOverOutcome,
    OrderOutcome,
    OrderReason,
    OrderState,
)

_WIRE_BY_STATE = {
    OrderState.RAN: peer_pb2.ORDER_STATE_RAN,
    OrderState.NOT_RUN: peer_pb2.ORDER_STATE_NOT_RUN,
    OrderState.UNKNOWN: peer_pb2.ORDER_STATE_UNKNOWN,
    OrderState.REJECTED: peer_pb2.ORDER_STATE_REJECTED,
}
_STATE_BY_WIRE = {wire: state for state, wire in _WIRE_BY_STATE.items()}
_REASON_BY_TEXT = {reason.value: reason for reason in OrderReason}


def outcome_to_wire(outcome: OrderOutcome) -> peer_pb2.ForwardReply:
    """Return the message for an outcome."""
    return peer_pb2.ForwardReply(
        state=_WIRE_BY_STATE[outcome.state],
        body=outcome.body,
        reason=outcome.reason.value,
        retry_after_ms=outcome.retry_after_ms,
        replacement=outcome.replacement,
    )


def outcome_from_wire(
    message: peer_pb2.ForwardReply | peer_pb2.TicketOutcome,
) -> OrderOutcome:
    """Return the outcome of a message.

    A peer of a newer version may send values that this version doesn't know:
    such a state becomes UNKNOWN, such a reason OTHER.
    """
    outcome = OrderOutcome(
        _STATE_BY_WIRE.get(message.state, OrderState.UNKNOWN),
        _REASON_BY_TEXT.get(message.reason, OrderReason.OTHER),
        message.body,
        replacement=message.replacement,
    )
    if isinstance(message, peer_pb2.TicketOutcome):
        return outcome
    return replace(outcome, retry_after_ms=message.retry_after_ms)


def ticket_outcome_to_wire(
    number: str,
    handed: HandedOverOutcome,
) -> peer_pb2.TicketOutcome:
    """Return the message that hands over the outcome of one ticket."""
    outcome = handed.outcome
    return peer_pb2.TicketOutcome(
        number=number,
        state=_WIRE_BY_STATE[outcome.state],
        body=outcome.body,
        reason=outcome.reason.value,
        fingerprint=handed.fingerprint,
        replacement=outcome.replacement,
    )
