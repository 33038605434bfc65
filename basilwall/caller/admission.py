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
from basilwall.parts.limiter import AdaptiveLimit, LimitBounds, WeightedShares
from basilwall.parts.retry_after import RetryAfter
from basilwall.records.answer import RefusalReason
from basilwall.records.attempt import RequestKind
from basilwall.records.ids import ClassName, ServiceName

MIN_LIMIT = 2
#: Where the limit starts; it doubles within a few rounds of good queries.
INITIAL_LIMIT = 8
#: Weight of the newest time in the smoothed one.
SMOOTHING_FACTOR = 0.05
#: A query with less than this share of the usual time left is too late.
MIN_TIME_SHARE = 0.5
MS_PER_SECOND = 1000


class NotAdmittedError(Exception):
    """A request that was refused before anything of it ran."""

    def __init__(self, reason: RefusalReason, retry_after_ms: int) -> None:
        super().__init__(reason.value)
        self.reason = reason
        self.retry_after_ms = retry_after_ms


class _ServiceLimiter:
    """What one service has in flight, by class."""

    def __init__(
        self,
        max_limit: int,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        bounds = LimitBounds(
            MIN_LIMIT,
            min(INITIAL_LIMIT, max_limit),
            max_limit,
        )
        self.limit = AdaptiveLimit(bounds, clock)
        self.shares: WeightedShares[ClassName] = WeightedShares(clock)
        self.come_back = RetryAfter(clock, rng)
        self.typical_seconds: float = 0

    def refuse(self, reason: RefusalReason) -> NotAdmittedError:
        """Count a refusal and return it."""
        wait = self.come_back.record_refused()
        return NotAdmittedError(reason, int(wait * MS_PER_SECOND) + 1)

    def record_end(self, duration: float, is_congested: bool) -> None:
        """Learn from one request that has ended.

        Args:
            duration: How long it took, in seconds.
            is_congested: Whether it was shed, cut short, or slow all over.
        """
        self.limit.record_completion(self.shares.in_flight, is_congested)
        if not is_congested:
            self.typical_seconds += SMOOTHING_FACTOR * (
                duration - self.typical_seconds
            )


@dataclass(slots=True)
class AdmittedRequest:
    """One request in flight; set `congested` if the searchers were."""

    limiter: _ServiceLimiter
    is_congested: bool = False

    def count_refusal(self) -> int:
        """Count it as refused after all.

        Returns:
            When its caller may come back, in milliseconds from now.
        """
        return int(self.limiter.come_back.record_refused() * MS_PER_SECOND) + 1


class Admission:
    """Counts requests in flight against their caps."""

    def __init__(
        self,
        max_in_flight: int,
        clock: Clock | None = None,
        rng: random.Random | None = None,
    ) -> None:
        self.max_in_flight = max_in_flight
        self.in_flight = 0
        self._clock = clock or SystemClock()
        self._rng = rng or random.Random()
        self._limiter_by_key: dict[
            tuple[ServiceName, RequestKind], _ServiceLimiter
        ]
        self._limiter_by_key = {}
        self._idle = threading.Condition()

    @contextmanager
    def admit(
        self,
        document: Document,
        class_name: ClassName,
        time_left: float,
        kind: RequestKind = RequestKind.IDEMPOTENT,
    ) -> Iterator[AdmittedRequest]:
        """Hold one place for the length of a block.

        Args:
            document: The document in force.
            class_name: One of its classes.
            time_left: The time left to the request, in seconds.
            kind: Queries and orders are counted apart, since neither's time
                says anything of the other's.

        Yields:
            A record on which to note that the request met congestion.

        Raises:
            NotAdmittedError: If a cap is reached, or the time left is too
                short; nothing was run.
        """
        started = self._clock.monotonic()
        gate = self._limiter_of(document.service, kind)
        self._enter(gate, document, class_name, time_left)
        admitted = AdmittedRequest(gate)
        try:
            yield admitted
        finally:
            taken = self._clock.monotonic() - started
            self._leave(gate, class_name, taken, admitted.is_congested)

    def limits(self) -> dict[ServiceName, float]:
        """Return how many queries each service may have in flight."""
        return {
            service: gate.limit.limit
            for (service, kind), gate in tuple(self._limiter_by_key.items())
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
        limiter: _ServiceLimiter,
        document: Document,
        class_name: ClassName,
        time_left: float,
    ) -> None:
        with self._idle:
            if time_left < limiter.typical_seconds * MIN_TIME_SHARE:
                raise limiter.refuse(RefusalReason.TOO_LATE)
            if not self._has_room(limiter, document, class_name):
                raise limiter.refuse(RefusalReason.OVERLOADED)
            self.in_flight += 1
            limiter.come_back.record_admitted()

    def _has_room(
        self,
        limiter: _ServiceLimiter,
        document: Document,
        class_name: ClassName,
    ) -> bool:
        policy: ClassPolicy = document.classes[class_name]
        if self.in_flight >= self.max_in_flight:
            return False
        if limiter.shares.in_flight_of(class_name) >= policy.max_in_flight:
            return False
        weights = {name: one.weight for name, one in document.classes.items()}
        return limiter.shares.try_acquire(
            class_name, weights, limiter.limit.limit
        )

    def _leave(
        self,
        limiter: _ServiceLimiter,
        class_name: ClassName,
        duration: float,
        is_congested: bool,
    ) -> None:
        with self._idle:
            limiter.record_end(duration, is_congested)
            limiter.shares.release(class_name)
            self.in_flight -= 1
            if self.in_flight == 0:
                self._idle.notify_all()

    def _limiter_of(
        self, service: ServiceName, kind: RequestKind
    ) -> _ServiceLimiter:
        with self._idle:
            gate = self._limiter_by_key.get((service, kind))
            if gate is None:
                gate = _ServiceLimiter(
                    self.max_in_flight,
                    self._clock,
                    self._rng,
                )
                self._limiter_by_key[service, kind] = gate
        return gate
