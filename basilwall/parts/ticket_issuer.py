"""The mint of one incarnation: it issues tickets and reads all VMs' tickets.

A ticket carries its owner and its expiry and is signed with the key that all
VMs share, so any VM can tell whose it is without asking anybody.
"""

import base64
import hashlib
import hmac
import itertools

import msgspec

from basilwall.parts.clock import Clock
from basilwall.records.ids import Incarnation, ServiceName, VmAddress
from basilwall.records.order import Ticket

SIGNATURE_BYTES = 16
#: What a renewed ticket lives beyond the expiry of the first, in seconds.
REPLACEMENT_LIFETIME_SECONDS = 180.0


class _Wire(msgspec.Struct, array_like=True):
    service: str
    owner: str
    incarnation: str
    number: str
    expires_ms: int


_encoder = msgspec.json.Encoder()
_decoder = msgspec.json.Decoder(_Wire)
_MILLISECONDS = 1000


class TicketIssuer:
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
        return self._write(
            Ticket(
                service,
                self.owner,
                self.incarnation,
                str(next(self._numbers)),
                self._clock.wall() + self.lifetime,
            ),
        )

    def issue_replacement(
        self,
        ticket: Ticket,
        owner: VmAddress,
        incarnation: Incarnation,
    ) -> str:
        """Return the ticket that takes the place of a stopped VM's.

        It depends on nothing but its arguments: whoever is asked, all copies
        of one ticket get the same one, so the order can't run under two.

        Args:
            ticket: The ticket that never ran.
            owner: The address of the VM that owns the new ticket.
            incarnation: The incarnation of that VM.

        Returns:
            The new ticket.
        """
        return self._write(
            Ticket(
                ticket.service,
                owner,
                incarnation,
                f'{ticket.incarnation}/{ticket.number}',
                ticket.expires_at + REPLACEMENT_LIFETIME_SECONDS,
            ),
        )

    def verify(self, text: str) -> Ticket | None:
        """Return the ticket that `text` stands for, or None if it is not one.

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
        try:
            wire = _decoder.decode(body)
        except msgspec.DecodeError:
            return None
        return Ticket(
            service=ServiceName(wire.service),
            owner=VmAddress(wire.owner),
            incarnation=Incarnation(wire.incarnation),
            number=wire.number,
            expires_at=wire.expires_ms / _MILLISECONDS,
        )

    def _write(self, ticket: Ticket) -> str:
        body = _encoder.encode(
            _Wire(
                service=ticket.service,
                owner=ticket.owner,
                incarnation=ticket.incarnation,
                number=ticket.number,
                expires_ms=int(ticket.expires_at * _MILLISECONDS),
            ),
        )
        signed = self._sign(body) + body
        return base64.urlsafe_b64encode(signed).decode('ascii')

    def _sign(self, body: bytes) -> bytes:
        digest = hmac.new(self._key, body, hashlib.sha256).digest()
        return digest[:SIGNATURE_BYTES]
