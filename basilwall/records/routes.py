"""Routes: which services a caller's request is sent to, and its limits.

The route table is one published document for the whole fleet. A request uses
the table that was current when it started, so an answer never mixes two.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

from basilwall.records.ids import RouteName, ServiceName


class RetrySafety(Enum):
    """Whether a request may run more than once."""

    IDEMPOTENT = 'idempotent'
    AT_MOST_ONCE = 'at_most_once'


@dataclass(frozen=True, slots=True)
class WeightedService:
    """A service that takes a weighted share of a route's requests."""

    service: ServiceName
    weight: float


@dataclass(frozen=True, slots=True)
class ScatterGather:
    """How the answers of all shards are combined.

    `max_records` is how many records the answer holds at most;
    `min_answered_share` is the share of shards that an answer needs, from 0 to
    1.
    """

    shards: tuple[ServiceName, ...]
    max_records: int
    min_answered_share: float


@dataclass(frozen=True, slots=True)
class Route:
    """One route; times are in seconds.

    Exactly one of `weighted_services` and `scatter_gather` is given. `timeout`
    bounds the time to the final answer; `target_latency` is the time within
    which an answer has full value. `max_attempts` bounds the searchers that a
    request is sent to (for each shard if scattered). `priority` is 0 for the
    most urgent requests.
    """

    name: RouteName
    host: str
    prefix: bytes
    retry_safety: RetrySafety
    max_attempts: int
    timeout: float
    target_latency: float
    priority: int
    weighted_services: tuple[WeightedService, ...] = ()
    scatter_gather: ScatterGather | None = None


@dataclass(frozen=True, slots=True)
class UnusableRoute:
    """A published route that this VM can't use, as it can't be decoded.

    It takes the requests that match it, so that no other route does; they are
    refused.
    """

    host: str
    prefix: bytes


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on callers' requests; sizes in bytes, times in seconds."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 1_048_576
    header_timeout: float = 5
    idle_timeout: float = 30


@dataclass(frozen=True, slots=True)
class RouteTable:
    """All routes of one version, by host, with the longest prefix first.

    `is_complete` is False if there are more routes whose host or prefix is
    unknown: a request without a route may then have one.
    """

    version: int
    routes_by_host: Mapping[str, tuple[Route | UnusableRoute, ...]]
    max_connections_by_service: Mapping[ServiceName, int]
    limits: CallerLimits = field(default_factory=CallerLimits)
    is_complete: bool = True

    def find_route(
        self, host: str, path: bytes
    ) -> Route | UnusableRoute | None:
        """Return the route of a request, or None if there is none.

        Args:
            host: The host in the request, without a port.
            path: The path in the request, still encoded.

        Returns:
            The host's route with the longest prefix that matches the path.
        """
        for route in self.routes_by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def unusable_count(self) -> int:
        """Return how many routes with a known place can't be used."""
        return sum(
            isinstance(route, UnusableRoute)
            for routes in self.routes_by_host.values()
            for route in routes
        )
