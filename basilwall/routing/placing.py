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
from basilwall.records.searcher import Searcher, is_same_life
from basilwall.routing.deployment import Deployment
from basilwall.routing.place import RoundTrips
from basilwall.routing.standing import Standing

#: Expected times this close count as equal, as a factor.
JITTER = 0.15
#: What a searcher takes for a new connection, in seconds; the users' sheets
#: say 1 to 6 ms.
HANDSHAKE = 0.006
#: Added instead if this VM has its share of connections already, in seconds.
CROWDED_PENALTY = 0.05


class Room(ABC):
    """Tells whether a connection to a searcher is to be had."""

    @abstractmethod
    def has_idle(self, searcher: Searcher) -> bool:
        """Return whether a kept connection is free."""

    @abstractmethod
    def has_room(self, searcher: Searcher) -> bool:
        """Return whether one more connection keeps to this VM's share."""


class Placing:
    """What this VM has seen of all searchers, by their ids."""

    def __init__(
        self,
        deployment: Deployment,
        trips: RoundTrips,
        room: Room,
        clock: Clock,
        source: random.Random,
    ) -> None:
        self._deployment = deployment
        self._trips = trips
        self._room = room
        self._clock = clock
        self._source = source
        self._standing_by_id: dict[SearcherId, Standing] = {}
        self._lock = threading.Lock()

    def pick(
        self,
        service: ServiceName,
        tried: Collection[SearcherId],
    ) -> Standing | None:
        """Choose the searcher of a service that is expected to answer first.

        Args:
            service: The service.
            tried: Searchers that the request was already sent to.

        Returns:
            A standing, or None if no searcher is left.
        """
        listed = self._deployment.searchers(service)
        left = [one for one in listed if one.searcher_id not in tried]
        if not left:
            return None
        return min(map(self.standing, left), key=self._cost)

    def standing(self, searcher: Searcher) -> Standing:
        """Return what this VM has seen of a searcher."""
        found = self._standing_by_id.get(searcher.searcher_id)
        trip = self._trips.to_zone(searcher.zone)
        if found is not None and is_same_life(searcher, found.searcher):
            found.trip = trip
            return found
        fresh = Standing(searcher, self._clock, trip)
        with self._lock:
            self._standing_by_id[searcher.searcher_id] = fresh
        return fresh

    def follow(self) -> None:
        """Forget searchers that are listed no more."""
        listed = self._deployment.all_searchers()
        with self._lock:
            self._standing_by_id = {
                searcher_id: standing
                for searcher_id, standing in self._standing_by_id.items()
                if is_same_life(listed.get(searcher_id), standing.searcher)
            }

    def _cost(self, standing: Standing) -> float:
        spread = 1 + self._source.random() * JITTER
        return standing.expected() * spread + self._connecting(standing)

    def _connecting(self, standing: Standing) -> float:
        """Return what a connection costs beside the attempt, in seconds."""
        if self._room.has_idle(standing.searcher):
            return 0
        if self._room.has_room(standing.searcher):
            return standing.trip + HANDSHAKE
        return standing.trip + CROWDED_PENALTY
