"""Order outcomes handed over by VMs that stopped.

A VM that has stopped by plan never dispatches again. If all of its outcomes
have been received, a ticket of this VM that is not among them certainly did
not run, unless the VM had already evicted its record.
"""

import threading
from collections.abc import Iterable
from dataclasses import dataclass, replace

from basilwall.parts.clock import Clock
from basilwall.records.ids import Incarnation, VmAddress
from basilwall.records.order import (
    HandedOverOutcome,
    OrderOutcome,
    OrderReason,
    OrderState,
    Successor,
    Ticket,
)

#: Total size of the handovers kept; the oldest one is evicted first.
MAX_BYTES = 33_554_432
#: Memory that one outcome takes besides its body, and one handover besides
#: its outcomes.
OUTCOME_OVERHEAD_BYTES = 512
HANDOVER_OVERHEAD_BYTES = 2048
UNKNOWN = OrderOutcome(OrderState.UNKNOWN, OrderReason.OWNER_RESTARTED)
STOPPED = OrderOutcome(OrderState.NOT_RUN, OrderReason.STOPPED)
OTHER_CONTENT = OrderOutcome(OrderState.REJECTED, OrderReason.OTHER_CONTENT)


@dataclass(frozen=True, slots=True)
class Handover:
    """The outcomes of one incarnation, or some of them.

    Attributes:
        owner: The address of the stopped VM.
        incarnation: Its incarnation.
        handed_by_number: The outcomes received, by ticket number.
        total: The number of all its outcomes.
        forgotten_until: Tickets that expire up to this time, by the wall
            clock of the owner, may be missing from the outcomes.
        successor: The VM that owns the replacement tickets, if any.
        expires_at: When to drop the handover, in monotonic seconds.
    """

    owner: VmAddress
    incarnation: Incarnation
    handed_by_number: dict[str, HandedOverOutcome]
    total: int
    forgotten_until: float
    successor: Successor | None
    expires_at: float

    @property
    def is_complete(self) -> bool:
        """True if all outcomes have been received."""
        return len(self.handed_by_number) >= self.total

    @property
    def size_bytes(self) -> int:
        """The memory that the handover takes, in bytes."""
        return HANDOVER_OVERHEAD_BYTES + sum(
            OUTCOME_OVERHEAD_BYTES + len(handed_outcome.outcome.body)
            for handed_outcome in self.handed_by_number.values()
        )

    def merged_with(self, other: 'Handover') -> 'Handover':
        """Return the union with another message of the same incarnation."""
        handed_by_number = dict(self.handed_by_number)
        for number, handed_outcome in other.handed_by_number.items():
            stored = handed_by_number.get(number)
            if stored is None or stored.outcome.state is OrderState.UNKNOWN:
                handed_by_number[number] = handed_outcome
        return replace(
            self,
            handed_by_number=handed_by_number,
            total=max(self.total, other.total),
            forgotten_until=max(self.forgotten_until, other.forgotten_until),
            expires_at=max(self.expires_at, other.expires_at),
        )


class Handovers:
    """Handovers by the incarnation that sent them."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._by_incarnation: dict[Incarnation, Handover] = {}
        self._lock = threading.Lock()

    def store(self, handover: Handover) -> None:
        """Add outcomes of a stopping VM; repeated and late ones are merged."""
        now = self._clock.monotonic()
        with self._lock:
            existing = self._by_incarnation.get(handover.incarnation)
            if existing is not None:
                handover = existing.merged_with(handover)
            self._by_incarnation = {
                kept.incarnation: kept
                for kept in self._by_incarnation.values()
                if kept.expires_at > now
            }
            self._by_incarnation[handover.incarnation] = handover
            while _total_size(self._by_incarnation.values()) > MAX_BYTES:
                self._by_incarnation.pop(next(iter(self._by_incarnation)))

    def all_handovers(self) -> list[Handover]:
        """Return all handovers that have not expired."""
        now = self._clock.monotonic()
        with self._lock:
            return [
                handover
                for handover in self._by_incarnation.values()
                if handover.expires_at > now
            ]

    def outcome_of(self, ticket: Ticket, fingerprint: str) -> OrderOutcome:
        """Return what is known for certain about a ticket of a stopped VM.

        Args:
            ticket: The ticket.
            fingerprint: The hash of the order's content.

        Returns:
            The outcome: UNKNOWN if the outcomes received don't tell, NOT_RUN
            without a replacement if the order never began.
        """
        handover = self._find(ticket)
        if handover is None:
            return UNKNOWN
        handed_outcome = handover.handed_by_number.get(ticket.number)
        if handed_outcome is None:
            return _outcome_of_absent(handover, ticket)
        if handed_outcome.fingerprint != fingerprint:
            return OTHER_CONTENT
        return handed_outcome.outcome

    def successor_of(self, ticket: Ticket) -> Successor | None:
        """Return the VM that takes over an order that never ran."""
        handover = self._find(ticket)
        return None if handover is None else handover.successor

    def _find(self, ticket: Ticket) -> Handover | None:
        handover = self._by_incarnation.get(ticket.incarnation)
        if handover is None or handover.expires_at <= self._clock.monotonic():
            return None
        return handover


def _total_size(handovers: Iterable[Handover]) -> int:
    return sum(handover.size_bytes for handover in handovers)


def _outcome_of_absent(handover: Handover, ticket: Ticket) -> OrderOutcome:
    is_evicted = ticket.expires_at <= handover.forgotten_until
    if is_evicted or not handover.is_complete:
        return UNKNOWN
    return STOPPED
