"""Outcomes that stopped VMs left behind.

A VM that stopped by plan never dispatches again. If it said so and all of its
outcomes are here, a ticket of its that is not among them certainly did not
run, unless the VM itself had forgotten it by then.
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

#: Stopped VMs whose outcomes are kept, the oldest forgotten first.
MAX_HANDOVERS = 64
#: Size of all that is kept, the oldest forgotten first.
MAX_BYTES = 33_554_432
#: What one outcome takes besides its body.
OUTCOME_OVERHEAD_BYTES = 512
UNKNOWN = OrderOutcome(OrderState.UNKNOWN, OrderReason.OWNER_RESTARTED)
STOPPED = OrderOutcome(OrderState.NOT_RUN, OrderReason.STOPPED)
OTHER_CONTENT = OrderOutcome(OrderState.REJECTED, OrderReason.OTHER_CONTENT)


@dataclass(frozen=True, slots=True)
class Handover:
    """What one incarnation left behind, or a part of it.

    `total` counts all of its outcomes; tickets that expire no later than
    `forgotten_until` (wall clock of the owner) may be missing among them.
    `expires_at` is in monotonic seconds.
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
        """True if no outcome is missing."""
        return len(self.handed_by_number) >= self.total

    @property
    def size_bytes(self) -> int:
        """The memory that it takes, in bytes."""
        return sum(
            OUTCOME_OVERHEAD_BYTES + len(handed.outcome.body)
            for handed in self.handed_by_number.values()
        )

    def merged_with(self, other: 'Handover') -> 'Handover':
        """Return this with what another message of the same VM adds."""
        handed_by_number = dict(self.handed_by_number)
        for number, handed in other.handed_by_number.items():
            known = handed_by_number.get(number)
            if known is None or known.outcome.state is OrderState.UNKNOWN:
                handed_by_number[number] = handed
        return replace(
            self,
            handed_by_number=handed_by_number,
            total=max(self.total, other.total),
            forgotten_until=max(self.forgotten_until, other.forgotten_until),
            expires_at=max(self.expires_at, other.expires_at),
        )


class Handovers:
    """Outcomes by the incarnation that left them."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._by_incarnation: dict[Incarnation, Handover] = {}
        self._lock = threading.Lock()

    def store(self, handover: Handover) -> None:
        """Take in what a stopping VM leaves, in any order and number."""
        now = self._clock.monotonic()
        with self._lock:
            held = self._by_incarnation.get(handover.incarnation)
            if held is not None:
                handover = held.merged_with(handover)
            self._by_incarnation = {
                one.incarnation: one
                for one in self._by_incarnation.values()
                if one.expires_at > now
            }
            self._by_incarnation[handover.incarnation] = handover
            while self._is_too_large():
                self._by_incarnation.pop(next(iter(self._by_incarnation)))

    def all_handovers(self) -> list[Handover]:
        """Return all that is kept, to be passed on."""
        now = self._clock.monotonic()
        with self._lock:
            return [
                handover
                for handover in self._by_incarnation.values()
                if handover.expires_at > now
            ]

    def outcome_of(self, ticket: Ticket, fingerprint: str) -> OrderOutcome:
        """Return what can truly be said of a ticket whose owner is gone.

        Args:
            ticket: The ticket.
            fingerprint: The hash of the content that came with it.

        Returns:
            The outcome; NOT_RUN without a replacement if it never began.
        """
        handover = self._of(ticket)
        if handover is None:
            return UNKNOWN
        handed = handover.handed_by_number.get(ticket.number)
        if handed is None:
            return _of_absent(handover, ticket)
        if handed.fingerprint != fingerprint:
            return OTHER_CONTENT
        return handed.outcome

    def successor_of(self, ticket: Ticket) -> Successor | None:
        """Return who takes over an order that never ran."""
        handover = self._of(ticket)
        return None if handover is None else handover.successor

    def _of(self, ticket: Ticket) -> Handover | None:
        handover = self._by_incarnation.get(ticket.incarnation)
        if handover is None or handover.expires_at <= self._clock.monotonic():
            return None
        return handover

    def _is_too_large(self) -> bool:
        held = self._by_incarnation.values()
        return len(held) > MAX_HANDOVERS or _size(held) > MAX_BYTES


def _size(held: Iterable[Handover]) -> int:
    return sum(handover.size_bytes for handover in held)


def _of_absent(handover: Handover, ticket: Ticket) -> OrderOutcome:
    forgotten = ticket.expires_at <= handover.forgotten_until
    if forgotten or not handover.is_complete:
        return UNKNOWN
    return STOPPED
