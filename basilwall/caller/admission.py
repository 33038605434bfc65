"""Admission control: admits a request or refuses it at once.

There is no queue. A request that can't run now, or not within its remaining
time, is refused while its caller still has time to retry. The number of queries
that a service may have in flight adapts to how its queries end, and request
classes share it by weight. A stopping VM keeps admitting requests until the
load balancer has had time to notice the stop.
"""

import math
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
#: Initial limit; it doubles within a few rounds of queries without congestion.
INITIAL_LIMIT = 8
#: Weight of the latest duration in the moving average.
SMOOTHING_FACTOR = 0.05
#: A request with less than this share of the typical duration left is refused.
MIN_TIME_SHARE = 0.5
MS_PER_SECOND = 1000


class NotAdmittedError(Exception):
    """The request was refused before any part of it ran."""

    def __init__(self, reason: RefusalReason, retry_after_ms: int) -> None:
        super().__init__(reason.value)
        self.reason = reason
        self.retry_after_ms = retry_after_ms


class _ServiceLimiter:
    """Limits the requests in flight of one service, shared by its classes."""

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
        self.retry_after = RetryAfter(clock, rng)
        self.typical_seconds: float = 0

    def refuse(self, reason: RefusalReason) -> NotAdmittedError:
        """Count a refusal and return its error."""
        wait = self.retry_after.record_refused()
        return NotAdmittedError(reason, int(wait * MS_PER_SECOND) + 1)

    def record_end(self, duration: float, is_congested: bool) -> None:
        """Update the limit after a request has ended.

        Args:
            duration: The duration of the request, in seconds.
            is_congested: Whether it was shed, cut short, or slow on all
                searchers.
        """
        self.limit.record_completion(self.shares.in_flight, is_congested)
        if not is_congested:
            self.typical_seconds += SMOOTHING_FACTOR * (
                duration - self.typical_seconds
            )


@dataclass(slots=True)
class AdmittedRequest:
    """One request in flight; set `is_congested` if it met congestion."""

    limiter: _ServiceLimiter
    is_congested: bool = False

    def count_refusal(self) -> int:
        """Count the request as refused after it was admitted.

        Returns:
            The time after which its caller may retry, in milliseconds.
        """
        return (
            int(self.limiter.retry_after.record_refused() * MS_PER_SECOND) + 1
        )


class Admission:
    """Admits requests within the limits of the VM, services and classes."""

    def __init__(
        self,
        max_in_flight: int,
        clock: Clock | None = None,
        rng: random.Random | None = None,
    ) -> None:
        self.max_in_flight = max_in_flight
        self.in_flight = 0
        #: When a planned stop ends, in monotonic seconds; a request whose
        #: deadline is later is refused.
        self.ends_at = math.inf
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
        """Count a request as in flight for the duration of a `with` block.

        Args:
            document: The service's configuration document in force.
            class_name: One of its classes.
            time_left: The time until the request's deadline, in seconds.
            kind: Queries and orders have separate limits, because the
                duration of one does not predict that of the other.

        Yields:
            The admitted request, on which the block notes congestion.

        Raises:
            NotAdmittedError: If a limit is reached, the time left is too
                short or a planned stop ends before; nothing was run.
        """
        started_at = self._clock.monotonic()
        limiter = self._limiter_of(document.service, kind)
        self._enter(limiter, document, class_name, time_left)
        admitted = AdmittedRequest(limiter)
        try:
            yield admitted
        finally:
            duration = self._clock.monotonic() - started_at
            self._leave(limiter, class_name, duration, admitted.is_congested)

    def limits(self) -> dict[ServiceName, float]:
        """Return the current limit of queries in flight of each service."""
        return {
            service: limiter.limit.limit
            for (service, kind), limiter in tuple(self._limiter_by_key.items())
            if kind is RequestKind.IDEMPOTENT
        }

    def wait_idle(self, timeout: float) -> bool:
        """Wait until no request is in flight.

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
            if self._clock.monotonic() + time_left > self.ends_at:
                raise limiter.refuse(RefusalReason.OVERLOADED)
            if not self._has_room(limiter, document, class_name):
                raise limiter.refuse(RefusalReason.OVERLOADED)
            self.in_flight += 1
            limiter.retry_after.record_admitted()

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
        weights = {
            name: class_policy.weight
            for name, class_policy in document.classes.items()
        }
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
            limiter = self._limiter_by_key.get((service, kind))
            if limiter is None:
                limiter = _ServiceLimiter(
                    self.max_in_flight,
                    self._clock,
                    self._rng,
                )
                self._limiter_by_key[service, kind] = limiter
        return limiter
