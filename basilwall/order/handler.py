"""Handles orders from callers of this VM and from other VMs.

An order whose ticket this incarnation issued is claimed and dispatched here.
Any other order is forwarded to the VM that owns its ticket. If the owner
doesn't answer, the outcome is the one that it handed over to its peers when
it stopped, or UNKNOWN.
"""

import random
from abc import ABC, abstractmethod
from concurrent.futures import TimeoutError as FutureTimeoutError
from dataclasses import dataclass, replace

from basilwall.order.dispatch import Order, OrderDispatcher
from basilwall.order.retry_advice import with_retry_after
from basilwall.parts.clock import Clock
from basilwall.parts.fingerprints import fingerprint
from basilwall.parts.handovers import Handovers
from basilwall.parts.ticket_issuer import TicketIssuer
from basilwall.parts.tickets import TicketRecord, TicketTable
from basilwall.records.ids import Fingerprint, RequestId, ServiceName
from basilwall.records.order import (
    OrderOutcome,
    OrderReason,
    OrderState,
    Ticket,
)

FINGERPRINT_KIND = 'order'
BAD_TICKET = OrderOutcome(OrderState.REJECTED, OrderReason.BAD_TICKET)
OWNER_UNREACHABLE = OrderOutcome(
    OrderState.UNKNOWN,
    OrderReason.OWNER_UNREACHABLE,
)


@dataclass(frozen=True, slots=True)
class OrderRequest:
    """An order as received; `deadline` is in monotonic seconds."""

    request_id: RequestId
    service: ServiceName
    ticket: str
    body: bytes
    deadline: float


class OrderForwarder(ABC):
    """Calls other VMs about orders whose tickets this VM doesn't own."""

    @abstractmethod
    def forward(
        self,
        request: OrderRequest,
        ticket: Ticket,
    ) -> OrderOutcome | None:
        """Forward an order to the owner of its ticket.

        Args:
            request: The order.
            ticket: Its ticket, which names the owner.

        Returns:
            The owner's outcome, or None if the owner gave no answer.
        """

    @abstractmethod
    def ask_peers(self, request: OrderRequest) -> OrderOutcome | None:
        """Ask other VMs for the outcome that a stopped owner handed over.

        Args:
            request: The order.

        Returns:
            An outcome other than UNKNOWN, or None if no peer has one.
        """


class OrderHandler:
    """Decides which VM may run an order, and returns the order's outcome."""

    def __init__(
        self,
        issuer: TicketIssuer,
        table: TicketTable,
        dispatcher: OrderDispatcher,
        forwarder: OrderForwarder,
        handovers: Handovers,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self.issuer = issuer
        self.table = table
        self._dispatcher = dispatcher
        self._forwarder = forwarder
        self._handovers = handovers
        self._clock = clock
        self._rng = rng

    def handle(self, request: OrderRequest) -> OrderOutcome:
        """Handle an order from a caller of this VM.

        Args:
            request: The order, with or without a ticket.

        Returns:
            The outcome; NOT_RUN only if the order can never run under this
            ticket.
        """
        if not request.ticket:
            return OrderOutcome(
                OrderState.NOT_RUN,
                OrderReason.NO_TICKET,
                replacement=self.issuer.issue(request.service),
            )
        ticket = self._read_ticket(request)
        if ticket is None:
            return BAD_TICKET
        if ticket.incarnation == self.issuer.incarnation:
            outcome = self._handle_owned(request, ticket)
        else:
            outcome = self._handle_not_owned(request, ticket)
        return with_retry_after(outcome, self._rng)

    def refuse(
        self,
        request: OrderRequest,
        reason: OrderReason,
    ) -> OrderOutcome:
        """Refuse a caller's order before it is started.

        Args:
            request: The order, with or without a ticket.
            reason: Why it is refused.

        Returns:
            The outcome. Only the owner of a ticket can invalidate it, so the
            outcome is UNKNOWN if another VM owns the ticket.
        """
        if not request.ticket:
            outcome = OrderOutcome(OrderState.NOT_RUN, reason)
            return with_retry_after(outcome, self._rng)
        ticket = self._read_ticket(request)
        if ticket is None:
            return BAD_TICKET
        outcome = OrderOutcome(OrderState.UNKNOWN, reason)
        if ticket.incarnation == self.issuer.incarnation:
            outcome = self._invalidate(request, ticket, reason)
        return with_retry_after(outcome, self._rng)

    def handle_forwarded(self, request: OrderRequest) -> OrderOutcome:
        """Handle an order that another VM forwarded.

        Args:
            request: The order with its ticket.

        Returns:
            The outcome. If this incarnation didn't issue the ticket, it is
            the outcome that the owner handed over, or UNKNOWN.
        """
        ticket = self._read_ticket(request)
        if ticket is None:
            return BAD_TICKET
        if ticket.incarnation == self.issuer.incarnation:
            return self._handle_owned(request, ticket)
        return self._handed_over_outcome(request, ticket)

    def _read_ticket(self, request: OrderRequest) -> Ticket | None:
        ticket = self.issuer.verify(request.ticket)
        if ticket is None or ticket.service != request.service:
            return None
        return ticket

    def _invalidate(
        self,
        request: OrderRequest,
        ticket: Ticket,
        reason: OrderReason,
    ) -> OrderOutcome:
        """End a ticket as NOT_RUN unless its order was already started."""
        claim = self.table.claim(ticket, _fingerprint_of(request))
        if claim.record is None:
            return claim.refusal or OrderOutcome(OrderState.UNKNOWN, reason)
        if claim.is_first:
            outcome = OrderOutcome(OrderState.NOT_RUN, reason)
            not_run = self._with_replacement(outcome, ticket)
            self.table.finish(claim.record, not_run)
        return self._wait_for_outcome(0, claim.record)

    def _handle_owned(
        self, request: OrderRequest, ticket: Ticket
    ) -> OrderOutcome:
        order_fingerprint = _fingerprint_of(request)
        claim = self.table.claim(ticket, order_fingerprint)
        if claim.refusal is not None:
            return claim.refusal
        record = claim.record
        if record is None:
            return OrderOutcome(OrderState.UNKNOWN, OrderReason.OVERLOADED)
        if claim.is_first:
            self._run(request, ticket, record, order_fingerprint)
        time_left = request.deadline - self._clock.monotonic()
        return self._wait_for_outcome(max(time_left, 0), record)

    def _run(
        self,
        request: OrderRequest,
        ticket: Ticket,
        record: TicketRecord,
        order_fingerprint: Fingerprint,
    ) -> None:
        outcome = OrderOutcome(OrderState.UNKNOWN, OrderReason.REPLY_LOST)
        try:
            outcome = self._dispatcher.dispatch(
                Order(
                    request.request_id,
                    request.service,
                    request.body,
                    request.deadline,
                    ticket.expires_at,
                    order_fingerprint,
                ),
            )
        finally:
            self.table.finish(record, self._with_replacement(outcome, ticket))

    def _with_replacement(
        self,
        outcome: OrderOutcome,
        ticket: Ticket,
    ) -> OrderOutcome:
        if outcome.state is not OrderState.NOT_RUN:
            return outcome
        return replace(
            outcome,
            replacement=self.issuer.issue(ticket.service),
        )

    def _wait_for_outcome(
        self, timeout: float, record: TicketRecord
    ) -> OrderOutcome:
        try:
            return record.future.result(timeout)
        except FutureTimeoutError:
            return OrderOutcome(OrderState.UNKNOWN, OrderReason.STILL_RUNNING)

    def _handle_not_owned(
        self, request: OrderRequest, ticket: Ticket
    ) -> OrderOutcome:
        """Ask the owner, then the handovers stored here, then the peers."""
        owner_outcome = None
        if ticket.owner != self.issuer.owner:
            owner_outcome = self._forwarder.forward(request, ticket)
            if (
                owner_outcome is not None
                and owner_outcome.state is not OrderState.UNKNOWN
            ):
                return owner_outcome
        handed_over = self._handed_over_outcome(request, ticket)
        if handed_over.state is not OrderState.UNKNOWN:
            return handed_over
        peer_outcome = self._ask_peers(request, owner_outcome)
        if peer_outcome is not None:
            return peer_outcome
        if owner_outcome is None and ticket.owner != self.issuer.owner:
            return OWNER_UNREACHABLE
        return owner_outcome or handed_over

    def _ask_peers(
        self,
        request: OrderRequest,
        owner_outcome: OrderOutcome | None,
    ) -> OrderOutcome | None:
        """Ask the peers if the owner gave no answer or has restarted."""
        if (
            owner_outcome is not None
            and owner_outcome.reason is not OrderReason.OWNER_RESTARTED
        ):
            return None
        return self._forwarder.ask_peers(request)

    def _handed_over_outcome(
        self,
        request: OrderRequest,
        ticket: Ticket,
    ) -> OrderOutcome:
        """Return the outcome that the owner handed over, or UNKNOWN."""
        outcome = self._handovers.outcome_of(ticket, _fingerprint_of(request))
        successor = self._handovers.successor_of(ticket)
        has_never_run = outcome.reason is OrderReason.STOPPED
        if successor is None or not has_never_run:
            return outcome
        replacement = self.issuer.issue_replacement(
            ticket,
            successor.owner,
            successor.incarnation,
        )
        return replace(outcome, replacement=replacement)


def _fingerprint_of(request: OrderRequest) -> Fingerprint:
    return fingerprint(request.service, FINGERPRINT_KIND, request.body)
