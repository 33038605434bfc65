"""Tickets: the right of one incarnation to run one order once.

No membership list decides who may run an order, because lists lag and each
side of a partition keeps serving. A ticket names its owner, and only that
incarnation ever dispatches it. Whoever else meets the ticket forwards it.

A ticket that ended as NOT_RUN is burnt: it never runs later, so a caller who
was told "not run" may safely use another ticket while copies of the first
request are still on their way.
"""

import threading
from concurrent.futures import Future
from dataclasses import dataclass, field
from typing import NamedTuple

from basilwall.parts.clock import Clock
from basilwall.parts.ticket_issuer import TicketIssuer
from basilwall.records.order import (
    OrderOutcome,
    OrderReason,
    OrderState,
    Successor,
    Ticket,
)

#: Outcomes are kept this long after their ticket expired, in seconds.
RETENTION_SECONDS = 60.0
#: Records in the table; beyond it no new order begins.
MAX_RECORDS = 20_000


@dataclass(slots=True)
class TicketRecord:
    """One order that was begun: its content and, once known, its outcome."""

    ticket: Ticket
    fingerprint: str
    future: Future[OrderOutcome] = field(default_factory=Future)


class Claim(NamedTuple):
    """A claim on a ticket; only the first one may dispatch."""

    record: TicketRecord | None
    is_first: bool
    refusal: OrderOutcome | None = None


class TicketTable:
    """The orders that this incarnation has begun."""

    def __init__(
        self,
        issuer: TicketIssuer,
        clock: Clock,
        max_records: int = MAX_RECORDS,
    ) -> None:
        self._issuer = issuer
        self._clock = clock
        self._max_records = max_records
        self._by_number: dict[str, TicketRecord] = {}
        self._closed = False
        self._successor: Successor | None = None
        #: Of a ticket that expires no later nothing is known any more, also
        #: if the wall clock was set back since.
        self.forgotten_until: float = 0
        self._lock = threading.Lock()

    def claim(self, ticket: Ticket, fingerprint: str) -> Claim:
        """Claim the right to dispatch the order of `ticket`.

        Args:
            ticket: A ticket of this incarnation.
            fingerprint: The hash of the order's content.

        Returns:
            A claim. `first` is True for exactly one claim of a ticket, and
            its holder must end the record by `finish`.
        """
        now = self._clock.wall()
        with self._lock:
            self._forget(now)
            record = self._by_number.get(ticket.number)
            if record is not None:
                return _claim_again(record, fingerprint)
            record = TicketRecord(ticket, fingerprint)
            refusal = self._refusal(ticket, now)
            if refusal is not None:
                return Claim(None, is_first=False, refusal=refusal)
            if now > ticket.expires_at:
                refusal = self._burnt(ticket, OrderReason.EXPIRED)
                record.future.set_result(refusal)
            self._by_number[ticket.number] = record
            return Claim(record, is_first=refusal is None)

    def finish(self, record: TicketRecord, outcome: OrderOutcome) -> None:
        """End a record that `claim` handed out as the first."""
        record.future.set_result(outcome)

    def close(self, successor: Successor | None) -> list[TicketRecord]:
        """Begin no further order and return the records held.

        Args:
            successor: Who owns the tickets that take the place of those
                which did not run, if anybody does.

        Returns:
            The records, those still running among them.
        """
        with self._lock:
            self._successor = successor
            self._closed = True
            return list(self._by_number.values())

    def __len__(self) -> int:
        """Return the number of records held."""
        return len(self._by_number)

    def _refusal(self, ticket: Ticket, now: float) -> OrderOutcome | None:
        forgotten = ticket.expires_at <= self.forgotten_until
        if forgotten or now > ticket.expires_at + RETENTION_SECONDS:
            return OrderOutcome(OrderState.UNKNOWN, OrderReason.EXPIRED)
        if self._closed:
            return self._stopped(ticket)
        if len(self._by_number) >= self._max_records:
            return OrderOutcome(OrderState.UNKNOWN, OrderReason.OVERLOADED)
        return None

    def _stopped(self, ticket: Ticket) -> OrderOutcome:
        successor = self._successor
        replacement = ''
        if successor is not None:
            replacement = self._issuer.issue_replacement(
                ticket,
                successor.owner,
                successor.incarnation,
            )
        return OrderOutcome(
            OrderState.NOT_RUN,
            OrderReason.STOPPED,
            replacement=replacement,
        )

    def _burnt(self, ticket: Ticket, reason: OrderReason) -> OrderOutcome:
        return OrderOutcome(
            OrderState.NOT_RUN,
            reason,
            replacement=self._issuer.issue(ticket.service),
        )

    def _forget(self, now: float) -> None:
        limit = now - RETENTION_SECONDS
        while self._by_number:
            number, record = next(iter(self._by_number.items()))
            if record.ticket.expires_at > limit or not record.future.done():
                return
            self._by_number.pop(number)
            self.forgotten_until = max(
                self.forgotten_until,
                record.ticket.expires_at,
            )


def _claim_again(record: TicketRecord, fingerprint: str) -> Claim:
    if record.fingerprint != fingerprint:
        other = OrderOutcome(OrderState.REJECTED, OrderReason.OTHER_CONTENT)
        return Claim(None, is_first=False, refusal=other)
    return Claim(record, is_first=False)
