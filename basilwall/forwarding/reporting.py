"""Reports how each request ended: a log line, counters and a histogram.

The log line of a request that succeeded at the first attempt is short. That of
a request that was hedged, retried or not served carries a trail: every attempt
that did not succeed, with its searcher, result and time.
"""

import logging
from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass

from basilwall.records.forwarding import Answer, Call
from basilwall.records.ids import (
    NO_ROUTE,
    RouteName,
    SearcherId,
    ServiceName,
)
from basilwall.records.routes import Route, RouteTable

MS_PER_SECOND = 1000
#: Longest trail that is logged, in steps; a request rarely has more.
MAX_TRAIL_STEPS = 24

_log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class Step:
    """One event of a request, `elapsed` seconds after it was received."""

    elapsed: float
    service: ServiceName
    searcher: SearcherId
    event: str

    def __str__(self) -> str:
        """Return the step as it is written to the log."""
        elapsed_ms = int(self.elapsed * MS_PER_SECOND)
        return f'{elapsed_ms}ms {self.service} {self.searcher} {self.event}'


class Trail:
    """The steps of one request; those beyond `MAX_TRAIL_STEPS` are counted."""

    def __init__(self) -> None:
        self.steps: list[Step] = []
        self.attempts = 0
        self.hedges = 0
        self.omitted_steps = 0
        #: When the request stopped waiting, in monotonic seconds; None if it
        #: waited for no searcher.
        self.waited_until: float | None = None

    def add(self, step: Step) -> None:
        """Append a step, or count it if the trail is full."""
        if len(self.steps) < MAX_TRAIL_STEPS:
            self.steps.append(step)
        else:
            self.omitted_steps += 1


class RequestMetrics(ABC):
    """Interface to a metrics library that counts requests."""

    @abstractmethod
    def observe(
        self,
        route: RouteName,
        answer: Answer,
        seconds: float,
        trail: Trail,
    ) -> None:
        """Count a request that took `seconds` from receipt to its answer."""


class RequestReporter:
    """Logs and counts each request once, at its end."""

    def __init__(
        self,
        metrics: RequestMetrics,
        now: Callable[[], float],
        store_age: Callable[[], float],
    ) -> None:
        self._metrics = metrics
        self._now = now
        self._store_age = store_age

    def report_end(
        self,
        call: Call,
        route: Route | None,
        table: RouteTable | None,
        answer: Answer,
        trail: Trail,
    ) -> None:
        """Report how a request ended.

        Args:
            call: The request.
            route: Its route, if there is one.
            table: The route table that it was served by, if there was one.
            answer: Its final answer.
            trail: Its attempts and the events worth logging.
        """
        route_name = route.name if route else NO_ROUTE
        seconds = self._now() - call.received_at
        self._metrics.observe(route_name, answer, seconds, trail)
        fields: dict[str, object] = {
            'request': call.request_id.decode('latin-1'),
            'route': route_name,
            'table': table.version if table else None,
            'verdict': answer.verdict.value,
            'status': answer.status,
            'ms': int(seconds * MS_PER_SECOND),
            'attempts': trail.attempts,
        }
        if call.is_relayed:
            fields['relayed_here'] = True
        if trail.steps:
            fields |= self._details(answer, trail)
        _log.info('request ended', extra=fields)

    def _details(self, answer: Answer, trail: Trail) -> dict[str, object]:
        return {
            'hedges': trail.hedges,
            'missing': answer.missing_shards,
            'trail': [str(step) for step in trail.steps],
            'trail_left_out': trail.omitted_steps,
            'store_read_s_ago': round(self._store_age(), 1),
        }
