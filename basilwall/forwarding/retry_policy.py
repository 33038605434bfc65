"""Hedge delays of routes, and budgets of services for extra attempts.

A request whose searcher pauses or fails is sent to another searcher, early
enough to meet the target latency. The budget limits such extra attempts, so
that they do not add load while many searchers are slow at once.
"""

import threading
from collections.abc import Callable, Sequence

from basilwall.parts.clock import Clock
from basilwall.parts.hedge import HedgeDelay
from basilwall.parts.window_budget import WindowBudget
from basilwall.records.ids import RouteName, ServiceName
from basilwall.records.routes import Route
from basilwall.routing.bounds import Bounds

#: An attempt is hedged once it is slower than this share of all attempts.
SHARD_HEDGE_QUANTILE = 0.93
SINGLE_HEDGE_QUANTILE = 0.97
#: Upper bound of the hedge delay, as a share of the target latency.
SHARD_MAX_DELAY_RATIO = 0.28
SINGLE_MAX_DELAY_RATIO = 0.6
#: Share of the fleet's ratio and slack that is used: the windows of the VMs do
#: not coincide, so their sum may exceed the limit of any one window.
BUDGET_USE_RATIO = 0.9
#: Added to the window, because attempts reach their searchers with a delay.
IN_TRANSIT_SECONDS = 0.5
#: Share of the budget that hedges leave for retries after failures.
RETRY_RESERVE_RATIO = 0.15
#: Entries kept for routes, and for services; all are cleared at this count.
MAX_ENTRIES = 4096


class RetryPolicy:
    """Holds the hedge delay of each route and the budget of each service."""

    def __init__(
        self,
        bounds: Callable[[], Bounds],
        fleet_size: Callable[[], int],
        clock: Clock,
    ) -> None:
        self._clock = clock
        self._bounds = bounds
        self._fleet_size = fleet_size
        self._hedge_delays_by_route: dict[RouteName, HedgeDelay] = {}
        self._budgets_by_service: dict[ServiceName, WindowBudget] = {}
        self._slack: float = 0
        self._lock = threading.Lock()
        self.update_fleet_size()

    def hedge_delay(self, route: Route) -> HedgeDelay:
        """Return the delay after which an attempt of a route is hedged."""
        with self._lock:
            existing = self._hedge_delays_by_route.get(route.name)
            if existing is None:
                if len(self._hedge_delays_by_route) >= MAX_ENTRIES:
                    self._hedge_delays_by_route.clear()
                existing = _new_hedge_delay(route)
                self._hedge_delays_by_route[route.name] = existing
        return existing

    def budget(self, service: ServiceName) -> WindowBudget:
        """Return this VM's budget of extra attempts for a service."""
        with self._lock:
            existing = self._budgets_by_service.get(service)
            if existing is None:
                if len(self._budgets_by_service) >= MAX_ENTRIES:
                    self._budgets_by_service.clear()
                existing = self._new_budget()
                self._budgets_by_service[service] = existing
        return existing

    def spend_each(self, services: Sequence[ServiceName]) -> bool:
        """Count one extra attempt at each service if all budgets allow it.

        Budgets that were charged before one refused stay charged.
        """
        return all(self.budget(service).spend() for service in services)

    def update_fleet_size(self) -> None:
        """Recompute the slack of each VM from the current fleet size."""
        slack = self._bounds().extra_slack * BUDGET_USE_RATIO
        with self._lock:
            self._slack = slack / self._fleet_size()
            for budget in self._budgets_by_service.values():
                budget.slack = self._slack

    def _new_budget(self) -> WindowBudget:
        bounds = self._bounds()
        return WindowBudget(
            bounds.extra_ratio * BUDGET_USE_RATIO,
            self._slack,
            bounds.extra_window + IN_TRANSIT_SECONDS,
            self._clock,
        )


def _new_hedge_delay(route: Route) -> HedgeDelay:
    if route.scatter_gather is None:
        max_delay = route.target_latency * SINGLE_MAX_DELAY_RATIO
        return HedgeDelay(SINGLE_HEDGE_QUANTILE, max_delay)
    return HedgeDelay(
        SHARD_HEDGE_QUANTILE, route.target_latency * SHARD_MAX_DELAY_RATIO
    )
