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
SHARD_QUANTILE = 0.93
SINGLE_QUANTILE = 0.97
#: Latest time to hedge, as parts of the time that the route aims at.
SHARD_CEILING = 0.28
SINGLE_CEILING = 0.6
#: Part of the fleet's ratio and slack that is used, for requests that several
#: VMs count in different windows.
USED_OF_BUDGET = 0.9
#: Added to the window for attempts that arrive late, in seconds.
ON_THE_WAY = 0.5
#: Part of the budget that hedges leave for attempts after a failure.
RESERVE = 0.15
#: Entries kept of routes and services; beyond that all are dropped.
MAX_ENTRIES = 4096


class Policy:
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
        self._hedge_by_route: dict[RouteName, HedgeDelay] = {}
        self._budget_by_service: dict[ServiceName, WindowBudget] = {}
        self._slack: float = 0
        self._lock = threading.Lock()
        self.follow_fleet()

    def hedge(self, route: Route) -> HedgeDelay:
        """Return the delay after which an attempt of a route is late."""
        with self._lock:
            found = self._hedge_by_route.get(route.name)
            if found is None:
                if len(self._hedge_by_route) >= MAX_ENTRIES:
                    self._hedge_by_route.clear()
                found = _new_hedge(route)
                self._hedge_by_route[route.name] = found
        return found

    def budget(self, service: ServiceName) -> WindowBudget:
        """Return this VM's share of the budget of a service."""
        with self._lock:
            found = self._budget_by_service.get(service)
            if found is None:
                if len(self._budget_by_service) >= MAX_ENTRIES:
                    self._budget_by_service.clear()
                found = self._new_budget()
                self._budget_by_service[service] = found
        return found

    def follow_fleet(self) -> None:
        """Divide the slack by the VMs that are known now."""
        slack = self._bounds().extra_slack * USED_OF_BUDGET
        with self._lock:
            self._slack = slack / self._fleet_size()
            for budget in self._budget_by_service.values():
                budget.slack = self._slack

    def _new_budget(self) -> WindowBudget:
        bounds = self._bounds()
        return WindowBudget(
            bounds.extra_ratio * USED_OF_BUDGET,
            self._slack,
            bounds.extra_window + ON_THE_WAY,
            self._clock,
        )


def _new_hedge(route: Route) -> HedgeDelay:
    if route.scattering is None:
        latest = route.target_latency * SINGLE_CEILING
        return HedgeDelay(SINGLE_QUANTILE, latest)
    return HedgeDelay(SHARD_QUANTILE, route.target_latency * SHARD_CEILING)
