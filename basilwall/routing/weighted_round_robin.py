"""Shares the requests of a route among services by their weights.

Services take turns: each gains credit by its weight, and the one with the most
credit is next. So after any number of requests each is within one of its part,
which drawing at random is not.
"""

import threading
from collections import OrderedDict

from basilwall.records.ids import RouteName, ServiceName
from basilwall.records.routes import Route, WeightedService

#: Routes whose turns are kept, those used last.
MAX_TRACKED_ROUTES = 1024

_Key = tuple[RouteName, tuple[WeightedService, ...]]


class WeightedRoundRobin:
    """Whose turn it is on each route; new weights begin anew."""

    def __init__(self) -> None:
        self._credit_by_route: OrderedDict[_Key, list[float]] = OrderedDict()
        self._lock = threading.Lock()

    def next_service(self, route: Route) -> ServiceName:
        """Return the service that takes the next request of a route.

        Args:
            route: A route that names services with weights, at least one.
        """
        shares = route.weighted_services
        if len(shares) == 1:
            return shares[0].service
        with self._lock:
            credit = self._credit(route)
            weights = [one.weight for one in shares]
            for place, weight in enumerate(weights):
                credit[place] += weight
            chosen = credit.index(max(credit))
            credit[chosen] -= sum(weights)
        return shares[chosen].service

    def _credit(self, route: Route) -> list[float]:
        key = (route.name, route.weighted_services)
        credit = self._credit_by_route.setdefault(
            key,
            [float(0) for _ in route.weighted_services],
        )
        self._credit_by_route.move_to_end(key)
        if len(self._credit_by_route) > MAX_TRACKED_ROUTES:
            self._credit_by_route.popitem(last=False)
        return credit
