"""Admission: what is taken in, and what is refused at once.

Nothing waits in a queue here: a request that can't be run now, or not in the
time that is left to it, is refused while its caller still has time. How many
queries a service may have in flight follows how they end; classes divide it
by weight. A stopping VM stops admitting only after the balancer had time to
see it.
"""

import random
import threading
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass

from basilwall.document.model import ClassPolicy, Document
from basilwall.parts.clock import Clock, SystemClock
from basilwall.parts.come_back import ComeBack
from basilwall.parts.limiter import AdaptiveLimit, LimitBounds, WeightedShares
from basilwall.records.answer import RefusalReason
from basilwall.records.attempt import RequestKind
from basilwall.records.ids import ClassName, ServiceName

LOWEST_LIMIT = 2
#: Where the limit starts; it doubles within a few rounds of good queries.
INITIAL_LIMIT = 8
#: Weight of the newest time in the smoothed one.
SMOOTHING = 0.05
#: A query with less than this share of the usual time left is too late.
LEAST_SHARE = 0.5
MILLISECONDS = 1000


class NotAdmittedError(Exception):
    """A request that was refused before anything of it ran."""

    def __init__(self, reason: RefusalReason, retry_after_ms: int) -> None:
        super().__init__(reason.value)
        self.reason = reason
        self.retry_after_ms = retry_after_ms


class _ServiceGate:
    """What one service has in flight, by class."""

    def __init__(
        self,
        highest: int,
        clock: Clock,
        source: random.Random,
    ) -> None:
        bounds = LimitBounds(
            LOWEST_LIMIT,
            min(INITIAL_LIMIT, highest),
            highest,
        )
        self.limit = AdaptiveLimit(bounds, clock)
        self.shares: WeightedShares[ClassName] = WeightedShares(clock)
        self.come_back = ComeBack(clock, source)
        self.usual_time: float = 0

    def refusal(self, reason: RefusalReason) -> NotAdmittedError:
        """Count a refusal and return it."""
        wait = self.come_back.refused()
        return NotAdmittedError(reason, int(wait * MILLISECONDS) + 1)

    def ended(self, taken: float, congested: bool) -> None:
        """Learn from one request that has ended.

        Args:
            taken: How long it took, in seconds.
            congested: Whether it was shed, cut short, or slow all over.
        """
        self.limit.ended(self.shares.in_flight, congested)
        if not congested:
            self.usual_time += SMOOTHING * (taken - self.usual_time)


@dataclass(slots=True)
class Admitted:
    """One request in flight; set `congested` if the searchers were."""

    gate: _ServiceGate
    congested: bool = False

    def given_up(self) -> int:
        """Count it as refused after all.

        Returns:
            When its caller may come back, in milliseconds from now.
        """
        return int(self.gate.come_back.refused() * MILLISECONDS) + 1


class Admission:
    """Counts requests in flight against their caps."""

    def __init__(
        self,
        max_in_flight: int,
        clock: Clock | None = None,
        source: random.Random | None = None,
    ) -> None:
        self.max_in_flight = max_in_flight
        self.in_flight = 0
        self._clock = clock or SystemClock()
        self._source = source or random.Random()
        self._gate_by_key: dict[tuple[ServiceName, RequestKind], _ServiceGate]
        self._gate_by_key = {}
        self._idle = threading.Condition()

    @contextmanager
    def admitted(
        self,
        document: Document,
        class_name: ClassName,
        left: float,
        kind: RequestKind = RequestKind.IDEMPOTENT,
    ) -> Iterator[Admitted]:
        """Hold one place for the length of a block.

        Args:
            document: The document in force.
            class_name: One of its classes.
            left: The time left to the request, in seconds.
            kind: Queries and orders are counted apart, since neither's time
                says anything of the other's.

        Yields:
            A record on which to note that the request met congestion.

        Raises:
            NotAdmittedError: If a cap is reached, or the time left is too
                short; nothing was run.
        """
        started = self._clock.monotonic()
        gate = self._gate(document.service, kind)
        self._enter(gate, document, class_name, left)
        admitted = Admitted(gate)
        try:
            yield admitted
        finally:
            taken = self._clock.monotonic() - started
            self._leave(gate, class_name, taken, admitted.congested)

    def limits(self) -> dict[ServiceName, float]:
        """Return how many queries each service may have in flight."""
        return {
            service: gate.limit.limit
            for (service, kind), gate in tuple(self._gate_by_key.items())
            if kind is RequestKind.IDEMPOTENT
        }

    def wait_idle(self, timeout: float) -> bool:
        """Wait until nothing is in flight.

        Args:
            timeout: The longest wait, in seconds.

        Returns:
            False if requests were still in flight at the end.
        """
        with self._idle:
            return self._idle.wait_for(lambda: self.in_flight == 0, timeout)

    def _enter(
        self,
        gate: _ServiceGate,
        document: Document,
        class_name: ClassName,
        left: float,
    ) -> None:
        with self._idle:
            if left < gate.usual_time * LEAST_SHARE:
                raise gate.refusal(RefusalReason.TOO_LATE)
            if not self._has_room(gate, document, class_name):
                raise gate.refusal(RefusalReason.OVERLOADED)
            self.in_flight += 1
            gate.come_back.admitted()

    def _has_room(
        self,
        gate: _ServiceGate,
        document: Document,
        class_name: ClassName,
    ) -> bool:
        policy: ClassPolicy = document.classes[class_name]
        if self.in_flight >= self.max_in_flight:
            return False
        if gate.shares.in_flight_of(class_name) >= policy.max_in_flight:
            return False
        weights = {name: one.weight for name, one in document.classes.items()}
        return gate.shares.enter(class_name, weights, gate.limit.limit)

    def _leave(
        self,
        gate: _ServiceGate,
        class_name: ClassName,
        taken: float,
        congested: bool,
    ) -> None:
        with self._idle:
            gate.ended(taken, congested)
            gate.shares.leave(class_name)
            self.in_flight -= 1
            if self.in_flight == 0:
                self._idle.notify_all()

    def _gate(self, service: ServiceName, kind: RequestKind) -> _ServiceGate:
        with self._idle:
            gate = self._gate_by_key.get((service, kind))
            if gate is None:
                gate = _ServiceGate(
                    self.max_in_flight,
                    self._clock,
                    self._source,
                )
                self._gate_by_key[service, kind] = gate
        return gate
