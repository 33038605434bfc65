"""Outcomes that stopped VMs left behind.

A VM that stopped by plan never dispatches again. If it said so, a ticket of
its that is not among its outcomes certainly did not run.
"""

import threading
from dataclasses import dataclass

from basilwall.parts.clock import Clock
from basilwall.records.ids import Incarnation
from basilwall.records.order import (
    OrderOutcome,
    OrderReason,
    OrderState,
    Ticket,
)

#: Stopped VMs whose outcomes are kept, the oldest forgotten first.
MAX_HANDOVERS = 64
UNKNOWN = OrderOutcome(OrderState.UNKNOWN, OrderReason.OWNER_RESTARTED)


@dataclass(frozen=True, slots=True)
class Handover:
    """What one incarnation left behind; `expires_at` is monotonic seconds."""

    incarnation: Incarnation
    outcome_by_number: dict[str, OrderOutcome]
    closed: bool
    expires_at: float


class Handovers:
    """Outcomes by the incarnation that left them."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._by_incarnation: dict[Incarnation, Handover] = {}
        self._lock = threading.Lock()

    def keep(self, handover: Handover) -> None:
        """Take in what a stopping VM leaves behind."""
        now = self._clock.monotonic()
        with self._lock:
            self._by_incarnation = {
                incarnation: held
                for incarnation, held in self._by_incarnation.items()
                if held.expires_at > now
            }
            self._by_incarnation[handover.incarnation] = handover
            while len(self._by_incarnation) > MAX_HANDOVERS:
                self._by_incarnation.pop(next(iter(self._by_incarnation)))

    def outcome_of(self, ticket: Ticket) -> OrderOutcome:
        """Return what can truly be said of a ticket whose owner is gone."""
        handover = self._by_incarnation.get(ticket.incarnation)
        if handover is None or handover.expires_at <= self._clock.monotonic():
            return UNKNOWN
        outcome = handover.outcome_by_number.get(ticket.number)
        if outcome is not None:
            return outcome
        if handover.closed:
            return OrderOutcome(OrderState.NOT_RUN, OrderReason.STOPPED)
        return UNKNOWN
