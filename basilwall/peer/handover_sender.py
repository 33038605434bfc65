"""Sends the outcomes of this VM's tickets to its peers before it stops.

Outcomes that were handed over to this VM by VMs stopped earlier are sent too.
Otherwise they would be lost once every VM that holds them has been replaced.
"""

import logging
import time
from collections.abc import Sequence
from concurrent.futures import ThreadPoolExecutor
from concurrent.futures import wait as wait_for_futures
from functools import partial

from basilwall.parts.clock import Clock
from basilwall.parts.handovers import Handover, Handovers
from basilwall.parts.membership import Member, Membership
from basilwall.parts.tickets import (
    RETENTION_SECONDS,
    TicketRecord,
    TicketTable,
)
from basilwall.peer.client import PeerClients, PeerError, call_peer
from basilwall.peer.generated import peer_pb2
from basilwall.peer.handover_messages import handover_to_wire
from basilwall.records.ids import VmAddress
from basilwall.records.order import (
    HandedOverOutcome,
    OrderOutcome,
    OrderReason,
    OrderState,
    Successor,
)

#: Peers that receive the outcomes.
MAX_RECIPIENTS = 17
#: Timeout and number of attempts of one call.
CALL_TIMEOUT_SECONDS = 2.0
MAX_ATTEMPTS = 2
RETRY_PAUSE_SECONDS = 0.2
_UNKNOWN = OrderOutcome(OrderState.UNKNOWN, OrderReason.REPLY_LOST)

_log = logging.getLogger(__name__)


class HandoverSender:
    """Closes the ticket table of a stopping VM and hands over its outcomes."""

    def __init__(
        self,
        membership: Membership,
        table: TicketTable,
        handovers: Handovers,
        clients: PeerClients,
        clock: Clock,
    ) -> None:
        self._membership = membership
        self._table = table
        self._handovers = handovers
        self._clients = clients
        self._clock = clock

    def run(self, lifetime: float, limit: float) -> int:
        """Accept no new orders, wait for the running ones, and hand over.

        Args:
            lifetime: The lifetime of this VM's tickets, in seconds.
            limit: The longest wait for orders that still run, in seconds.

        Returns:
            The number of peers that received all outcomes.
        """
        successor = self._successor()
        records = self._table.close(successor)
        forgotten_until = self._table.forgotten_until
        wait_for_futures([record.future for record in records], limit)
        now = self._clock.monotonic()
        own = Handover(
            owner=self._membership.own.address,
            incarnation=self._membership.own.incarnation,
            handed_by_number={
                record.ticket.number: _outcome_at_stop(record)
                for record in records
            },
            total=len(records),
            forgotten_until=forgotten_until,
            successor=successor,
            expires_at=now + lifetime + RETENTION_SECONDS,
        )
        return self._send_to_recipients([own, *self._handovers.all_handovers()])

    def _successor(self) -> Successor | None:
        """Return the VM that takes over the tickets that were never used."""
        staying = sorted(
            (member.address, member.incarnation)
            for member in self._membership.live_members()
            if not member.leaving and member.incarnation
        )
        return Successor(*staying[0]) if staying else None

    def _recipients(self) -> list[VmAddress]:
        """Return the peers to hand over to, running ones first."""
        alive = [member.address for member in self._alive_staying_first()]
        others = [
            address
            for address in self._membership.peers()
            if address not in alive
        ]
        return [*alive, *others][:MAX_RECIPIENTS]

    def _alive_staying_first(self) -> list[Member]:
        return sorted(
            self._membership.live_members(),
            key=lambda member: (member.leaving, member.address),
        )

    def _send_to_recipients(self, handovers: Sequence[Handover]) -> int:
        now = self._clock.monotonic()
        messages = [
            message
            for handover in handovers
            for message in handover_to_wire(handover, now)
        ]
        recipients = self._recipients()
        if not recipients:
            return 0
        with ThreadPoolExecutor(len(recipients)) as pool:
            return sum(pool.map(partial(self._send_all, messages), recipients))

    def _send_all(
        self,
        messages: Sequence[peer_pb2.HandOverRequest],
        recipient: VmAddress,
    ) -> bool:
        is_sent = all(self._send(message, recipient) for message in messages)
        if not is_sent:
            _log.warning('handover not delivered', extra={'peer': recipient})
        return is_sent

    def _send(
        self,
        message: peer_pb2.HandOverRequest,
        recipient: VmAddress,
    ) -> bool:
        for _ in range(MAX_ATTEMPTS):
            # The channel to a VM that has just restarted may be in backoff.
            send_once = partial(
                self._clients.stub(recipient).HandOver,
                message,
                timeout=CALL_TIMEOUT_SECONDS,
                wait_for_ready=True,
            )
            try:
                call_peer(send_once)
            except PeerError:
                time.sleep(RETRY_PAUSE_SECONDS)
            else:
                return True
        return False


def _outcome_at_stop(record: TicketRecord) -> HandedOverOutcome:
    done = record.future.done()
    outcome = record.future.result() if done else _UNKNOWN
    return HandedOverOutcome(record.fingerprint, outcome)
