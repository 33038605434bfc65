"""Where orders arrive: from callers of this VM and from other VMs.

An order whose ticket this incarnation minted is claimed and dispatched here.
Any other is forwarded to the owner of its ticket; if that owner can't be
asked, the outcome is what it left behind, or UNKNOWN.
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
    """An order as it arrived; `deadline` is in monotonic seconds."""

    request_id: RequestId
    service: ServiceName
    ticket: str
    body: bytes
    deadline: float


class OrderForwarder(ABC):
    """The way to the VM that owns a ticket."""

    @abstractmethod
    def forward(
        self,
        request: OrderRequest,
        ticket: Ticket,
    ) -> OrderOutcome | None:
        """Pass an order on to its ticket's owner.

        Args:
            request: The order.
            ticket: Its ticket, which names the owner.

        Returns:
            The owner's outcome, or None if the owner gave none.
        """

    @abstractmethod
    def ask_peers(self, request: OrderRequest) -> OrderOutcome | None:
        """Ask other VMs what a stopped owner left with them.

        Args:
            request: The order.

        Returns:
            What is known for certain, or None if nobody knows.
        """


class OrderHandler:
    """Decides for each order who may run it, and says what became of it."""

    def __init__(
        self,
        mint: TicketIssuer,
        table: TicketTable,
        dispatcher: OrderDispatcher,
        forwarder: OrderForwarder,
        handovers: Handovers,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self.mint = mint
        self.table = table
        self._dispatcher = dispatcher
        self._forwarder = forwarder
        self._handovers = handovers
        self._clock = clock
        self._rng = rng

    def handle(self, request: OrderRequest) -> OrderOutcome:
        """Take an order from a caller of this VM.

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
                replacement=self.mint.issue(request.service),
            )
        ticket = self._read_ticket(request)
        if ticket is None:
            return BAD_TICKET
        if ticket.incarnation == self.mint.incarnation:
            outcome = self._handle_owned(request, ticket)
        else:
            outcome = self._handle_not_owned(request, ticket)
        return with_retry_after(outcome, self._rng)

    def refuse(
        self,
        request: OrderRequest,
        reason: OrderReason,
    ) -> OrderOutcome:
        """Refuse an order of a caller at once, before it is begun.

        Args:
            request: The order, with or without a ticket.
            reason: Why it is refused.

        Returns:
            The outcome. Only the owner of a ticket can burn it, so that of
            another VM's ticket is UNKNOWN.
        """
        if not request.ticket:
            outcome = OrderOutcome(OrderState.NOT_RUN, reason)
            return with_retry_after(outcome, self._rng)
        ticket = self._read_ticket(request)
        if ticket is None:
            return BAD_TICKET
        outcome = OrderOutcome(OrderState.UNKNOWN, reason)
        if ticket.incarnation == self.mint.incarnation:
            outcome = self._invalidate(request, ticket, reason)
        return with_retry_after(outcome, self._rng)

    def handle_forwarded(self, request: OrderRequest) -> OrderOutcome:
        """Take an order that another VM passed on.

        Args:
            request: The order with its ticket.

        Returns:
            The outcome; UNKNOWN if the ticket is not this incarnation's.
        """
        ticket = self._read_ticket(request)
        if ticket is None:
            return BAD_TICKET
        if ticket.incarnation == self.mint.incarnation:
            return self._handle_owned(request, ticket)
        return self._handed_over_outcome(request, ticket)

    def _read_ticket(self, request: OrderRequest) -> Ticket | None:
        ticket = self.mint.verify(request.ticket)
        if ticket is None or ticket.service != request.service:
            return None
        return ticket

    def _invalidate(
        self,
        request: OrderRequest,
        ticket: Ticket,
        reason: OrderReason,
    ) -> OrderOutcome:
        claim = self.table.claim(ticket, _fingerprint_of(request))
        if claim.record is None:
            return claim.refusal or OrderOutcome(OrderState.UNKNOWN, reason)
        if claim.is_first:
            outcome = OrderOutcome(OrderState.NOT_RUN, reason)
            burnt = self._with_replacement(outcome, ticket)
            self.table.finish(claim.record, burnt)
        return self._wait_for_outcome(0, claim.record)

    def _handle_owned(
        self, request: OrderRequest, ticket: Ticket
    ) -> OrderOutcome:
        mark = _fingerprint_of(request)
        claim = self.table.claim(ticket, mark)
        if claim.refusal is not None:
            return claim.refusal
        record = claim.record
        if record is None:
            return OrderOutcome(OrderState.UNKNOWN, OrderReason.OVERLOADED)
        if claim.is_first:
            self._run(request, ticket, record, mark)
        left = request.deadline - self._clock.monotonic()
        return self._wait_for_outcome(max(left, 0), record)

    def _run(
        self,
        request: OrderRequest,
        ticket: Ticket,
        record: TicketRecord,
        mark: Fingerprint,
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
                    mark,
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
            replacement=self.mint.issue(ticket.service),
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
        told = None
        if ticket.owner != self.mint.owner:
            told = self._forwarder.forward(request, ticket)
            if told is not None and told.state is not OrderState.UNKNOWN:
                return told
        left_behind = self._handed_over_outcome(request, ticket)
        if left_behind.state is not OrderState.UNKNOWN:
            return left_behind
        heard = self._ask_peers(request, told)
        if heard is not None:
            return heard
        if told is None and ticket.owner != self.mint.owner:
            return OWNER_UNREACHABLE
        return told or left_behind

    def _ask_peers(
        self,
        request: OrderRequest,
        told: OrderOutcome | None,
    ) -> OrderOutcome | None:
        if told is not None and told.reason is not OrderReason.OWNER_RESTARTED:
            return None
        return self._forwarder.ask_peers(request)

    def _handed_over_outcome(
        self,
        request: OrderRequest,
        ticket: Ticket,
    ) -> OrderOutcome:
        outcome = self._handovers.outcome_of(ticket, _fingerprint_of(request))
        successor = self._handovers.successor_of(ticket)
        never_began = outcome.reason is OrderReason.STOPPED
        if successor is None or not never_began:
            return outcome
        replacement = self.mint.issue_replacement(
            ticket,
            successor.owner,
            successor.incarnation,
        )
        return replace(outcome, replacement=replacement)


def _fingerprint_of(request: OrderRequest) -> Fingerprint:
    return fingerprint(request.service, FINGERPRINT_KIND, request.body)
