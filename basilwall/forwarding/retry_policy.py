"""What requests of one route or service share: hedge delays and budgets.

They answer searchers that pause or break: a request that met one is sent to
another searcher, early enough to be in time, and never so often that searchers
which are slow together are pressed further.
"""

import threading
from collections.abc import Callable

from basilwall.parts.clock import Clock
from basilwall.parts.hedge import HedgeDelay
from basilwall.parts.window_budget import WindowBudget
from basilwall.records.ids import RouteName, ServiceName
from basilwall.records.routes import Route
from basilwall.routing.bounds import Bounds

#: An attempt that takes longer than these shares of all others is late.
SHARD_HEDGE_QUANTILE = 0.93
SINGLE_HEDGE_QUANTILE = 0.97
#: Latest time to hedge, as parts of the time that the route aims at.
SHARD_MAX_DELAY_RATIO = 0.28
SINGLE_MAX_DELAY_RATIO = 0.6
#: Part of the fleet's ratio and slack that is used, for requests that several
#: VMs count in different windows.
BUDGET_USE_RATIO = 0.9
#: Added to the window for attempts that arrive late, in seconds.
IN_TRANSIT_SECONDS = 0.5
#: Part of the budget that hedges leave for attempts after a failure.
RETRY_RESERVE_RATIO = 0.15
#: Entries kept of routes and services; beyond that all are dropped.
MAX_ENTRIES = 4096


class RetryPolicy:
    """Hedge delays by route and budgets by service."""

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
        """Return the delay after which an attempt of a route is late."""
        with self._lock:
            found = self._hedge_delays_by_route.get(route.name)
            if found is None:
                if len(self._hedge_delays_by_route) >= MAX_ENTRIES:
                    self._hedge_delays_by_route.clear()
                found = _new_hedge_delay(route)
                self._hedge_delays_by_route[route.name] = found
        return found

    def budget(self, service: ServiceName) -> WindowBudget:
        """Return this VM's share of the budget of a service."""
        with self._lock:
            found = self._budgets_by_service.get(service)
            if found is None:
                if len(self._budgets_by_service) >= MAX_ENTRIES:
                    self._budgets_by_service.clear()
                found = self._new_budget()
                self._budgets_by_service[service] = found
        return found

    def update_fleet_size(self) -> None:
        """Divide the slack by the VMs that are known now."""
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
        latest = route.target_latency * SINGLE_MAX_DELAY_RATIO
        return HedgeDelay(SINGLE_HEDGE_QUANTILE, latest)
    return HedgeDelay(
        SHARD_HEDGE_QUANTILE, route.target_latency * SHARD_MAX_DELAY_RATIO
    )
