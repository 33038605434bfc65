"""Metrics in Prometheus text form, for the platform's collector."""

import math
import threading
from collections.abc import Callable
from functools import partial

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

from basilwall.forwarding.reporting import RequestMetrics, Trail
from basilwall.records.forwarding import Answer
from basilwall.records.ids import RouteName

HTTP_OK = 200
#: Routes with a label of their own; further ones share OVERFLOW_ROUTE.
MAX_ROUTE_LABELS = 48
OVERFLOW_ROUTE = RouteName('other')
#: Upper bounds of the latency buckets.
LATENCY_BUCKETS_SECONDS = (
    0.01,
    0.025,
    0.05,
    0.075,
    0.1,
    0.125,
    0.15,
    0.2,
    0.3,
    0.5,
    0.8,
    1.5,
    3,
    8,
)


class PrometheusMetrics(RequestMetrics):
    """All metrics of an entry VM."""

    def __init__(self) -> None:
        self._registry = CollectorRegistry()
        self._requests = Counter(
            'basilwall_requests',
            'Requests by route and by how they ended.',
            ['route', 'verdict'],
            registry=self._registry,
        )
        self._latency = Histogram(
            'basilwall_request_seconds',
            'Time from the head of a request to its answer.',
            ['route'],
            buckets=LATENCY_BUCKETS_SECONDS,
            registry=self._registry,
        )
        self._attempts = Counter(
            'basilwall_attempts',
            'Attempts sent to searchers, and hedges among them.',
            ['kind'],
            registry=self._registry,
        )
        self._missing_shards = Counter(
            'basilwall_missing_shards',
            'Shards that answers left out.',
            ['route'],
            registry=self._registry,
        )
        self._labelled_routes: set[RouteName] = set()
        self._lock = threading.Lock()

    def observe(
        self,
        route: RouteName,
        answer: Answer,
        seconds: float,
        trail: Trail,
    ) -> None:
        """Count one request that ended after `seconds`."""
        name = self._route_label(route)
        self._requests.labels(name, answer.verdict.value).inc()
        self._latency.labels(name).observe(seconds)
        self._attempts.labels('all').inc(trail.attempts)
        self._attempts.labels('hedge').inc(trail.hedges)
        if answer.missing_shards:
            self._missing_shards.labels(name).inc(answer.missing_shards)

    def add_gauge(
        self, name: str, description: str, read: Callable[[], float]
    ) -> None:
        """Add a gauge whose value is read at each scrape.

        An integer that no float holds is shown as infinite.
        """
        gauge = Gauge(f'basilwall_{name}', description, registry=self._registry)
        gauge.set_function(partial(_read_as_float, read))

    def scrape(self, _: bytes) -> tuple[int, bytes]:
        """Return the status and the body of the metrics endpoint."""
        return HTTP_OK, generate_latest(self._registry)

    def _route_label(self, route: RouteName) -> RouteName:
        if route in self._labelled_routes:
            return route
        with self._lock:
            if len(self._labelled_routes) >= MAX_ROUTE_LABELS:
                return OVERFLOW_ROUTE
            self._labelled_routes.add(route)
        return route


def _read_as_float(read: Callable[[], float]) -> float:
    try:
        return float(read())
    except OverflowError:
        return math.inf
