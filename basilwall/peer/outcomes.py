"""Order outcomes as they travel between VMs."""

from dataclasses import replace

from basilwall.peer.generated import peer_pb2
from basilwall.records.order import OrderOutcome, OrderReason, OrderState

_WIRE_BY_STATE = {
    OrderState.RAN: peer_pb2.ORDER_STATE_RAN,
    OrderState.NOT_RUN: peer_pb2.ORDER_STATE_NOT_RUN,
    OrderState.UNKNOWN: peer_pb2.ORDER_STATE_UNKNOWN,
    OrderState.REJECTED: peer_pb2.ORDER_STATE_REJECTED,
}
_STATE_BY_WIRE = {wire: state for state, wire in _WIRE_BY_STATE.items()}


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
    """Return the outcome of a message; a state not known here is UNKNOWN."""
    outcome = OrderOutcome(
        _STATE_BY_WIRE.get(message.state, OrderState.UNKNOWN),
        OrderReason(message.reason),
        message.body,
    )
    if isinstance(message, peer_pb2.TicketOutcome):
        return outcome
    return replace(
        outcome,
        retry_after_ms=message.retry_after_ms,
        replacement=message.replacement,
    )


def ticket_outcome(
    number: str,
    mark: str,
    outcome: OrderOutcome,
) -> peer_pb2.TicketOutcome:
    """Return the message that leaves one ticket's outcome with a peer."""
    return peer_pb2.TicketOutcome(
        number=number,
        state=_WIRE_BY_STATE[outcome.state],
        body=outcome.body,
        reason=outcome.reason.value,
        fingerprint=mark,
    )
