"""Tickets: the right of one incarnation to run one order once.

No membership list decides who may run an order, because lists lag and each
side of a partition keeps serving. A ticket names its owner, and only that
incarnation ever dispatches it. Whoever else meets the ticket forwards it.

A ticket that ended as NOT_RUN is burnt: it never runs later, so a caller who
was told "not run" may safely use another ticket while copies of the first
request are still on their way.
"""

import base64
import hashlib
import hmac
import itertools
import threading
from concurrent.futures import Future
from dataclasses import dataclass, field
from typing import NamedTuple

import msgspec

from basilwall.parts.clock import Clock
from basilwall.records.ids import Incarnation, ServiceName, VmAddress
from basilwall.records.order import (
    OrderOutcome,
    OrderReason,
    OrderState,
    Ticket,
)

SIGNATURE_BYTES = 16
#: Outcomes are kept this long after their ticket expired, in seconds.
KEEP_AFTER_EXPIRY = 60.0
#: Records in the table; beyond it no new order begins.
MAX_RECORDS = 50_000


class _Wire(msgspec.Struct, array_like=True):
    service: str
    owner: str
    incarnation: str
    number: str
    expires_ms: int


_encoder = msgspec.json.Encoder()
_decoder = msgspec.json.Decoder(_Wire)
_MILLISECONDS = 1000


class TicketMint:
    """Issues tickets for this incarnation and reads those of all VMs."""

    def __init__(
        self,
        owner: VmAddress,
        incarnation: Incarnation,
        key: bytes,
        clock: Clock,
        lifetime: float,
    ) -> None:
        self.owner = owner
        self.incarnation = incarnation
        self.lifetime = lifetime
        self._key = key
        self._clock = clock
        self._numbers = itertools.count(1)

    def issue(self, service: ServiceName) -> str:
        """Return a new ticket for one order to `service`."""
        expires = self._clock.wall() + self.lifetime
        body = _encoder.encode(
            _Wire(
                service=service,
                owner=self.owner,
                incarnation=self.incarnation,
                number=str(next(self._numbers)),
                expires_ms=int(expires * _MILLISECONDS),
            ),
        )
        signed = self._sign(body) + body
        return base64.urlsafe_b64encode(signed).decode('ascii')

    def read(self, text: str) -> Ticket | None:
        """Return the ticket that `text` stands for, or None if it is forged.

        Args:
            text: What a caller sent as its ticket.

        Returns:
            The ticket, which may be expired or another VM's.
        """
        try:
            signed = base64.urlsafe_b64decode(text.encode('ascii'))
        except ValueError:
            return None
        signature, body = signed[:SIGNATURE_BYTES], signed[SIGNATURE_BYTES:]
        if not hmac.compare_digest(signature, self._sign(body)):
            return None
        wire = _decoder.decode(body)
        return Ticket(
            service=ServiceName(wire.service),
            owner=VmAddress(wire.owner),
            incarnation=Incarnation(wire.incarnation),
            number=wire.number,
            expires_at=wire.expires_ms / _MILLISECONDS,
        )

    def _sign(self, body: bytes) -> bytes:
        digest = hmac.new(self._key, body, hashlib.sha256).digest()
        return digest[:SIGNATURE_BYTES]


@dataclass(slots=True)
class TicketRecord:
    """One order that was begun: its content and, once known, its outcome."""

    ticket: Ticket
    fingerprint: str
    future: Future[OrderOutcome] = field(default_factory=Future)


class Claim(NamedTuple):
    """A claim on a ticket; only the first one may dispatch."""

    record: TicketRecord | None
    first: bool
    refused: OrderOutcome | None = None


class TicketTable:
    """The orders that this incarnation has begun."""

    def __init__(
        self,
        mint: TicketMint,
        clock: Clock,
        max_records: int = MAX_RECORDS,
    ) -> None:
        self._mint = mint
        self._clock = clock
        self._max_records = max_records
        self._by_number: dict[str, TicketRecord] = {}
        self._closed = False
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
            if refusal is not None and refusal.state is OrderState.UNKNOWN:
                return Claim(None, first=False, refused=refusal)
            if refusal is not None:
                record.future.set_result(refusal)
            self._by_number[ticket.number] = record
            return Claim(record, first=refusal is None)

    def finish(self, record: TicketRecord, outcome: OrderOutcome) -> None:
        """End a record that `claim` handed out as the first."""
        record.future.set_result(outcome)

    def close(self) -> list[TicketRecord]:
        """Begin no further order and return the records held.

        Returns:
            The records, those still running among them.
        """
        with self._lock:
            self._closed = True
            return list(self._by_number.values())

    def __len__(self) -> int:
        """Return the number of records held."""
        return len(self._by_number)

    def _refusal(self, ticket: Ticket, now: float) -> OrderOutcome | None:
        if now > ticket.expires_at + KEEP_AFTER_EXPIRY:
            return OrderOutcome(OrderState.UNKNOWN, OrderReason.EXPIRED)
        if now > ticket.expires_at:
            return self._burnt(ticket, OrderReason.EXPIRED)
        if self._closed:
            return OrderOutcome(OrderState.NOT_RUN, OrderReason.STOPPED)
        if len(self._by_number) >= self._max_records:
            return OrderOutcome(OrderState.UNKNOWN, OrderReason.OVERLOADED)
        return None

    def _burnt(self, ticket: Ticket, reason: OrderReason) -> OrderOutcome:
        return OrderOutcome(
            OrderState.NOT_RUN,
            reason,
            replacement=self._mint.issue(ticket.service),
        )

    def _forget(self, now: float) -> None:
        limit = now - KEEP_AFTER_EXPIRY
        while self._by_number:
            number, record = next(iter(self._by_number.items()))
            if record.ticket.expires_at > limit or not record.future.done():
                return
            self._by_number.pop(number)


def _claim_again(record: TicketRecord, fingerprint: str) -> Claim:
    if record.fingerprint != fingerprint:
        other = OrderOutcome(OrderState.REJECTED, OrderReason.OTHER_CONTENT)
        return Claim(None, first=False, refused=other)
    return Claim(record, first=False)
