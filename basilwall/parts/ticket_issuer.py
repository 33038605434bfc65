"""Issues the tickets of one incarnation and verifies those of all VMs.

A ticket carries its owner and its expiry time and is signed (HMAC) with a key
that all VMs share, so any VM can determine the owner without a call.
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
#: Time from the expiry of a ticket to that of its replacement.
REPLACEMENT_LIFETIME_SECONDS = 180.0


class _TicketMessage(msgspec.Struct, array_like=True):
    service: str
    owner: str
    incarnation: str
    number: str
    expires_ms: int


_encoder = msgspec.json.Encoder()
_decoder = msgspec.json.Decoder(_TicketMessage)
_MS_PER_SECOND = 1000


class TicketIssuer:
    """Issues tickets for this incarnation and verifies those of all VMs.

    Attributes:
        owner: The address of this VM.
        incarnation: The incarnation of this VM.
        lifetime: The time from issue to expiry, in seconds.
    """

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
        return self._encode(
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
        """Return the replacement of a ticket of a stopped VM.

        The result depends on the arguments alone. All VMs therefore return
        the same replacement for all copies of a ticket, so that the order
        can't run under two tickets.

        Args:
            ticket: The ticket that never ran.
            owner: The address of the VM that owns the new ticket.
            incarnation: The incarnation of that VM.

        Returns:
            The new ticket as text.
        """
        return self._encode(
            Ticket(
                ticket.service,
                owner,
                incarnation,
                f'{ticket.incarnation}/{ticket.number}',
                ticket.expires_at + REPLACEMENT_LIFETIME_SECONDS,
            ),
        )

    def verify(self, text: str) -> Ticket | None:
        """Decode a ticket and check its signature.

        Args:
            text: The ticket as a caller sent it.

        Returns:
            The ticket, which may have expired or belong to another VM, or
            None if `text` is not a valid ticket.
        """
        try:
            signed_body = base64.urlsafe_b64decode(text.encode('ascii'))
        except ValueError:
            return None
        signature, body = (
            signed_body[:SIGNATURE_BYTES],
            signed_body[SIGNATURE_BYTES:],
        )
        if not hmac.compare_digest(signature, self._sign(body)):
            return None
        try:
            message = _decoder.decode(body)
        except msgspec.DecodeError:
            return None
        return Ticket(
            service=ServiceName(message.service),
            owner=VmAddress(message.owner),
            incarnation=Incarnation(message.incarnation),
            number=message.number,
            expires_at=message.expires_ms / _MS_PER_SECOND,
        )

    def _encode(self, ticket: Ticket) -> str:
        body = _encoder.encode(
            _TicketMessage(
                service=ticket.service,
                owner=ticket.owner,
                incarnation=ticket.incarnation,
                number=ticket.number,
                expires_ms=int(ticket.expires_at * _MS_PER_SECOND),
            ),
        )
        signed_body = self._sign(body) + body
        return base64.urlsafe_b64encode(signed_body).decode('ascii')

    def _sign(self, body: bytes) -> bytes:
        digest = hmac.new(self._key, body, hashlib.sha256).digest()
        return digest[:SIGNATURE_BYTES]
