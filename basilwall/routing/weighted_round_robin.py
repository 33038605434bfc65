"""Smooth weighted round robin over the services of a route.

For each request every service gains credit by its weight; the service with the
most credit is chosen and pays the sum of the weights. So after any number of
requests each service is within one request of its share, unlike with a random
choice.
"""

import threading
from collections import OrderedDict

from basilwall.records.ids import RouteName, ServiceName
from basilwall.records.routes import Route, WeightedService

#: Routes whose credit is kept; the least recently used are dropped.
MAX_TRACKED_ROUTES = 1024

_Key = tuple[RouteName, tuple[WeightedService, ...]]


class WeightedRoundRobin:
    """Chooses services by weight; changed weights start without credit."""

    def __init__(self) -> None:
        self._balances_by_route: OrderedDict[_Key, list[float]] = OrderedDict()
        self._lock = threading.Lock()

    def next_service(self, route: Route) -> ServiceName:
        """Return the service of the next request of a route.

        Args:
            route: A route with at least one weighted service.
        """
        services = route.weighted_services
        if len(services) == 1:
            return services[0].service
        with self._lock:
            balances = self._balances_of(route)
            weights = [weighted.weight for weighted in services]
            for position, weight in enumerate(weights):
                balances[position] += weight
            chosen_index = balances.index(max(balances))
            balances[chosen_index] -= sum(weights)
        return services[chosen_index].service

    def _balances_of(self, route: Route) -> list[float]:
        key = (route.name, route.weighted_services)
        balances = self._balances_by_route.setdefault(
            key,
            [float(0) for _ in route.weighted_services],
        )
        self._balances_by_route.move_to_end(key)
        if len(self._balances_by_route) > MAX_TRACKED_ROUTES:
            self._balances_by_route.popitem(last=False)
        return balances
