"""Where orders arrive: from callers of this VM and from other VMs.

An order whose ticket this incarnation minted is claimed and dispatched here.
Any other is forwarded to the owner of its ticket; if that owner can't be
asked, the outcome is what it left behind, or UNKNOWN.
"""

from abc import ABC, abstractmethod
from concurrent.futures import TimeoutError as FutureTimeoutError
from dataclasses import dataclass, replace

from basilwall.order.dispatch import Order, OrderDispatcher
from basilwall.parts.clock import Clock
from basilwall.parts.fingerprints import fingerprint
from basilwall.parts.handovers import Handovers
from basilwall.parts.tickets import TicketMint, TicketRecord, TicketTable
from basilwall.records.ids import Fingerprint, RequestId, ServiceName
from basilwall.records.order import (
    OrderOutcome,
    OrderReason,
    OrderState,
    Ticket,
)

KIND = 'order'
RETRY_AFTER_MS = 500


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


class OrderDesk:
    """Decides for each order who may run it, and says what became of it."""

    def __init__(
        self,
        mint: TicketMint,
        table: TicketTable,
        dispatcher: OrderDispatcher,
        forwarder: OrderForwarder,
        handovers: Handovers,
        clock: Clock,
    ) -> None:
        self.mint = mint
        self.table = table
        self._dispatcher = dispatcher
        self._forwarder = forwarder
        self._handovers = handovers
        self._clock = clock

    def take(self, request: OrderRequest) -> OrderOutcome:
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
        ticket = self.mint.read(request.ticket)
        if ticket is None or ticket.service != request.service:
            return OrderOutcome(OrderState.REJECTED, OrderReason.BAD_TICKET)
        if ticket.incarnation == self.mint.incarnation:
            return self._own(request, ticket)
        return self._others(request, ticket)

    def take_forwarded(self, request: OrderRequest) -> OrderOutcome:
        """Take an order that another VM passed on.

        Args:
            request: The order with its ticket.

        Returns:
            The outcome; UNKNOWN if the ticket is not this incarnation's.
        """
        ticket = self.mint.read(request.ticket)
        if ticket is None or ticket.service != request.service:
            return OrderOutcome(OrderState.REJECTED, OrderReason.BAD_TICKET)
        if ticket.incarnation == self.mint.incarnation:
            return self._own(request, ticket)
        return self._handovers.outcome_of(ticket)

    def _own(self, request: OrderRequest, ticket: Ticket) -> OrderOutcome:
        mark = fingerprint(request.service, KIND, request.body)
        claim = self.table.claim(ticket, mark)
        if claim.refused is not None:
            return claim.refused
        record = claim.record
        if record is None:
            return OrderOutcome(OrderState.UNKNOWN, OrderReason.OVERLOADED)
        if claim.first:
            self._run(request, ticket, record, mark)
        return self._wait(request, record)

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

    def _wait(
        self,
        request: OrderRequest,
        record: TicketRecord,
    ) -> OrderOutcome:
        left = request.deadline - self._clock.monotonic()
        try:
            return record.future.result(timeout=max(left, 0))
        except FutureTimeoutError:
            return OrderOutcome(
                OrderState.UNKNOWN,
                OrderReason.STILL_RUNNING,
                retry_after_ms=RETRY_AFTER_MS,
            )

    def _others(self, request: OrderRequest, ticket: Ticket) -> OrderOutcome:
        outcome = None
        if ticket.owner != self.mint.owner:
            outcome = self._forwarder.forward(request, ticket)
        if outcome is None or outcome.state is OrderState.UNKNOWN:
            outcome = self._better(outcome, self._handovers.outcome_of(ticket))
        if outcome.state is OrderState.NOT_RUN and not outcome.replacement:
            return self._with_replacement(outcome, ticket)
        return outcome

    def _better(
        self,
        told: OrderOutcome | None,
        left_behind: OrderOutcome,
    ) -> OrderOutcome:
        if told is None or left_behind.state is not OrderState.UNKNOWN:
            return left_behind
        return told
