"""Leave the outcomes of this VM's tickets with its peers before it ends."""

import logging
from functools import partial

from basilwall.parts.membership import Membership
from basilwall.parts.tickets import TicketRecord, TicketTable
from basilwall.peer.client import PeerClients, PeerError, call
from basilwall.peer.generated import peer_pb2
from basilwall.peer.outcomes import ticket_outcome
from basilwall.records.order import OrderOutcome, OrderReason, OrderState

#: How long peers keep the outcomes, in milliseconds.
KEEP_MS = 180_000
CALL_TIMEOUT = 2.0
_UNKNOWN = OrderOutcome(OrderState.UNKNOWN, OrderReason.REPLY_LOST)

_log = logging.getLogger(__name__)


def hand_over(
    membership: Membership,
    table: TicketTable,
    clients: PeerClients,
) -> int:
    """Close the table and leave its outcomes with all peers.

    Args:
        membership: Whom to ask.
        table: The orders begun here; none begins after this call.
        clients: The way to the peers.

    Returns:
        How many peers keep the outcomes.
    """
    records = table.close()
    own = membership.own
    request = peer_pb2.HandOverRequest(
        sender=peer_pb2.VmIdentity(
            address=own.address,
            incarnation=own.incarnation,
            leaving=True,
        ),
        outcomes=[_outcome(record) for record in records],
        closed=True,
        keep_ms=KEEP_MS,
    )
    kept = 0
    for member in membership.alive():
        stub = clients.stub(member.address)
        try:
            call(partial(stub.HandOver, request, timeout=CALL_TIMEOUT))
        except PeerError:
            _log.warning('handover lost', extra={'peer': member.address})
        else:
            kept += 1
    return kept


def _outcome(record: TicketRecord) -> peer_pb2.TicketOutcome:
    done = record.future.done()
    outcome = record.future.result() if done else _UNKNOWN
    return ticket_outcome(record.ticket.number, record.fingerprint, outcome)
