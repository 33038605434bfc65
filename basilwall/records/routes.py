"""Routes: where a caller's request may go, and what it asks for.

A table is one accepted document in force for the whole fleet. A request keeps
the table that it started with, so an answer never mixes two of them.
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
    """One service that takes a part of a route's requests, by weight."""

    service: ServiceName
    weight: float


@dataclass(frozen=True, slots=True)
class ScatterGather:
    """How the answers of all shards become one.

    `top_records` is how many records the answer holds; `least_share` is the
    share of the shards below which it is no answer, from 0 to 1.
    """

    shards: tuple[ServiceName, ...]
    max_records: int
    min_answered_share: float


@dataclass(frozen=True, slots=True)
class Route:
    """One route; times are in seconds.

    Exactly one of `shares` and `scattering` is given. `longest_wait` bounds
    the time to the final answer, `target_latency` is the time within which an
    answer is worth most, `attempts` bounds the searchers of one request (of
    each shard if scattered), `rank` is 0 for the most urgent.
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
class CallerLimits:
    """What a caller may send; sizes in bytes, times in seconds."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 1_048_576
    header_timeout: float = 5
    idle_timeout: float = 30


@dataclass(frozen=True, slots=True)
class RouteTable:
    """All routes of one version, by host, the longest prefix first."""

    version: int
    routes_by_host: Mapping[str, tuple[Route, ...]]
    max_connections_by_service: Mapping[ServiceName, int]
    limits: CallerLimits = field(default_factory=CallerLimits)

    def find_route(self, host: str, path: bytes) -> Route | None:
        """Return the route of a request, or None if there is none.

        Args:
            host: The host that the caller named, without a port.
            path: The path as it was sent.

        Returns:
            Of the host's routes the one with the longest prefix of the path.
        """
        for route in self.routes_by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None
