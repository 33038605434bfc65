"""Ticket table: lets one incarnation of a VM run an order at most once.

A ticket names the incarnation that owns it, and only that incarnation ever
dispatches the order; every other VM forwards it. A membership list could not
decide who runs an order, because lists lag and both sides of a network
partition keep serving.

A ticket that ended as NOT_RUN is invalid for good: it never runs later. A
caller that was told "not run" may therefore use another ticket while copies of
the first request are still in transit.
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

#: Time for which outcomes are kept after their ticket has expired.
RETENTION_SECONDS = 60.0
#: Records in the table; when it is full, no further order begins.
MAX_RECORDS = 20_000


@dataclass(slots=True)
class TicketRecord:
    """An order that has begun; `future` holds its outcome once known."""

    ticket: Ticket
    fingerprint: str
    future: Future[OrderOutcome] = field(default_factory=Future)


class Claim(NamedTuple):
    """A claim on a ticket.

    Only the holder of the first claim may dispatch the order. `refusal` is
    the outcome to return if there is no record to wait for.
    """

    record: TicketRecord | None
    is_first: bool
    refusal: OrderOutcome | None = None


class TicketTable:
    """The orders that this incarnation of the VM has begun."""

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
        #: Records of tickets that expire up to this wall clock time may have
        #: been evicted. The bound stays valid if the clock is set back.
        self.forgotten_until: float = 0
        self._lock = threading.Lock()

    def claim(self, ticket: Ticket, fingerprint: str) -> Claim:
        """Claim the right to dispatch the order of `ticket`.

        Args:
            ticket: A ticket of this incarnation.
            fingerprint: The hash of the order's content.

        Returns:
            A claim. `is_first` is True for exactly one claim of a ticket; its
            holder must call `finish` on the record.
        """
        now = self._clock.wall()
        with self._lock:
            self._evict_expired(now)
            record = self._by_number.get(ticket.number)
            if record is not None:
                return _claim_existing(record, fingerprint)
            record = TicketRecord(ticket, fingerprint)
            refusal = self._refusal(ticket, now)
            if refusal is not None:
                return Claim(None, is_first=False, refusal=refusal)
            if now > ticket.expires_at:
                refusal = self._invalidate(ticket, OrderReason.EXPIRED)
                record.future.set_result(refusal)
            self._by_number[ticket.number] = record
            return Claim(record, is_first=refusal is None)

    def finish(self, record: TicketRecord, outcome: OrderOutcome) -> None:
        """Set the outcome of a record that `claim` returned as the first."""
        record.future.set_result(outcome)

    def close(self, successor: Successor | None) -> list[TicketRecord]:
        """Let no further order begin and return the records.

        Args:
            successor: The VM that owns the replacements of tickets that did
                not run, if there is one.

        Returns:
            The records, those of running orders included.
        """
        with self._lock:
            self._successor = successor
            self._closed = True
            return list(self._by_number.values())

    def __len__(self) -> int:
        """Return the number of records in the table."""
        return len(self._by_number)

    def _refusal(self, ticket: Ticket, now: float) -> OrderOutcome | None:
        is_evicted = ticket.expires_at <= self.forgotten_until
        if is_evicted or now > ticket.expires_at + RETENTION_SECONDS:
            return OrderOutcome(OrderState.UNKNOWN, OrderReason.EXPIRED)
        if self._closed:
            return self._refuse_stopped(ticket)
        if len(self._by_number) >= self._max_records:
            return OrderOutcome(OrderState.UNKNOWN, OrderReason.OVERLOADED)
        return None

    def _refuse_stopped(self, ticket: Ticket) -> OrderOutcome:
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

    def _invalidate(self, ticket: Ticket, reason: OrderReason) -> OrderOutcome:
        return OrderOutcome(
            OrderState.NOT_RUN,
            reason,
            replacement=self._issuer.issue(ticket.service),
        )

    def _evict_expired(self, now: float) -> None:
        cutoff = now - RETENTION_SECONDS
        while self._by_number:
            number, record = next(iter(self._by_number.items()))
            if record.ticket.expires_at > cutoff or not record.future.done():
                return
            self._by_number.pop(number)
            self.forgotten_until = max(
                self.forgotten_until,
                record.ticket.expires_at,
            )


def _claim_existing(record: TicketRecord, fingerprint: str) -> Claim:
    if record.fingerprint != fingerprint:
        refusal = OrderOutcome(OrderState.REJECTED, OrderReason.OTHER_CONTENT)
        return Claim(None, is_first=False, refusal=refusal)
    return Claim(record, is_first=False)
