"""Where an attempt goes: to the searcher that is expected to answer first.

This answers searchers that differ by distance, speed, load and health. What
a searcher is expected to take is in `routing/standing.py`; here they are
compared, with what it costs if no connection is free.
"""

import random
import threading
from abc import ABC, abstractmethod
from collections.abc import Collection

from basilwall.parts.clock import Clock
from basilwall.records.ids import SearcherId, ServiceName
from basilwall.records.searcher import Searcher, is_same_process
from basilwall.routing.location import RoundTripTimes
from basilwall.routing.routing_state import RoutingState
from basilwall.routing.searcher_stats import SearcherStats

#: Expected times this close count as equal, as a factor.
COST_JITTER_RATIO = 0.15
#: What a searcher takes for a new connection, in seconds; the users' sheets
#: say 1 to 6 ms.
CONNECTION_SETUP_SECONDS = 0.006
#: Added instead if this VM has its share of connections already, in seconds.
OVER_SHARE_PENALTY_SECONDS = 0.05


class ConnectionAvailability(ABC):
    """Tells whether a connection to a searcher is to be had."""

    @abstractmethod
    def has_idle_connection(self, searcher: Searcher) -> bool:
        """Return whether a kept connection is free."""

    @abstractmethod
    def may_open_connection(self, searcher: Searcher) -> bool:
        """Return whether one more connection keeps to this VM's share."""


class SearcherSelector:
    """What this VM has seen of all searchers, by their ids."""

    def __init__(
        self,
        routing_state: RoutingState,
        round_trips: RoundTripTimes,
        availability: ConnectionAvailability,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._routing_state = routing_state
        self._round_trips = round_trips
        self._availability = availability
        self._clock = clock
        self._rng = rng
        self._stats_by_id: dict[SearcherId, SearcherStats] = {}
        self._lock = threading.Lock()

    def pick(
        self,
        service: ServiceName,
        tried: Collection[SearcherId],
    ) -> SearcherStats | None:
        """Choose the searcher of a service that is expected to answer first.

        Args:
            service: The service.
            tried: Searchers that the request was already sent to.

        Returns:
            A standing, or None if no searcher is left.
        """
        listed = self._routing_state.searchers(service)
        left = [one for one in listed if one.searcher_id not in tried]
        if not left:
            return None
        return min(map(self.stats_of, left), key=self._cost)

    def stats_of(self, searcher: Searcher) -> SearcherStats:
        """Return what this VM has seen of a searcher."""
        found = self._stats_by_id.get(searcher.searcher_id)
        trip = self._round_trips.to_zone(searcher.zone)
        if found is not None and is_same_process(searcher, found.searcher):
            found.round_trip = trip
            return found
        fresh = SearcherStats(searcher, self._clock, trip)
        with self._lock:
            self._stats_by_id[searcher.searcher_id] = fresh
        return fresh

    def forget_unlisted(self) -> None:
        """Forget searchers that are listed no more."""
        listed = self._routing_state.all_searchers()
        with self._lock:
            self._stats_by_id = {
                searcher_id: standing
                for searcher_id, standing in self._stats_by_id.items()
                if is_same_process(listed.get(searcher_id), standing.searcher)
            }

    def _cost(self, standing: SearcherStats) -> float:
        spread = 1 + self._rng.random() * COST_JITTER_RATIO
        return standing.expected_seconds() * spread + self._connection_cost(
            standing
        )

    def _connection_cost(self, standing: SearcherStats) -> float:
        """Return what a connection costs beside the attempt, in seconds."""
        if self._availability.has_idle_connection(standing.searcher):
            return 0
        if self._availability.may_open_connection(standing.searcher):
            return standing.round_trip + CONNECTION_SETUP_SECONDS
        return standing.round_trip + OVER_SHARE_PENALTY_SECONDS
