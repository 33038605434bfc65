"""The connections of this VM to all searchers, and where attempts go.

The cap of a searcher counts the connections of all VMs together, so a VM
keeps to its share of it. Connections are kept for the next attempt, the one
used last on top, so that those not needed grow idle and are closed.
"""

import logging
import random
import threading
from collections.abc import Callable, Collection

from basilwall.forwarding.connection import SearcherConnection
from basilwall.parts.clock import Clock
from basilwall.records.ids import SearcherId, ServiceName
from basilwall.records.searcher import Searcher
from basilwall.routing.deployment import Deployment
from basilwall.routing.place import RoundTrips
from basilwall.routing.standing import Standing

#: Part of the cap of connections that all VMs together aim to use.
USED_OF_CAP = 0.85
#: Expected times this close count as equal, as a factor.
JITTER = 0.15
#: Added to the expected time if no connection is free, in seconds.
CROWDED_PENALTY = 0.05

_log = logging.getLogger(__name__)


class SearcherPool:
    """The kept connections to one searcher."""

    def __init__(self, standing: Standing) -> None:
        self.standing = standing
        self.open_count = 0
        self.idle: list[SearcherConnection] = []


class Pools:
    """All pools, by the id of their searcher."""

    def __init__(
        self,
        deployment: Deployment,
        trips: RoundTrips,
        clock: Clock,
        fleet_size: Callable[[], int],
        source: random.Random,
    ) -> None:
        self._deployment = deployment
        self._trips = trips
        self._clock = clock
        self._fleet_size = fleet_size
        self._source = source
        self._pool_by_id: dict[SearcherId, SearcherPool] = {}
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
        trips = self._trips
        standings = []
        for searcher in left:
            standing = self._pool(searcher).standing
            standing.trip = trips.to_zone(searcher.zone)
            standings.append(standing)
        return min(standings, key=self._cost)

    def checkout(self, searcher: Searcher) -> SearcherConnection:
        """Return a connection to a searcher, a kept one if there is any."""
        pool = self._pool(searcher)
        now = self._clock.monotonic()
        while True:
            with self._lock:
                kept = pool.idle.pop() if pool.idle else None
                if kept is None:
                    pool.open_count += 1
                    return SearcherConnection(searcher, self._clock)
            if kept.usable_until > now and not kept.has_input():
                return kept
            self.discard(kept)

    def give_back(self, connection: SearcherConnection) -> None:
        """Keep a connection whose reply was read to its end."""
        self._note_connect(connection)
        pool = self._pool_by_id.get(connection.searcher.searcher_id)
        is_kept = (
            pool is not None
            # The searcher may have started anew meanwhile.
            and _is_same(connection.searcher, pool.standing.searcher)
            and pool.open_count <= self._share(pool)
        )
        if pool is None or not is_kept:
            self.discard(connection)
            return
        with self._lock:
            pool.idle.append(connection)

    def discard(self, connection: SearcherConnection) -> None:
        """Close a connection."""
        connection.close()
        pool = self._pool_by_id.get(connection.searcher.searcher_id)
        if pool is not None:
            with self._lock:
                pool.open_count -= 1

    def standing(self, searcher: Searcher) -> Standing:
        """Return what this VM has seen of a searcher."""
        return self._pool(searcher).standing

    def has_room(self, standing: Standing) -> bool:
        """Return whether one more attempt keeps to this VM's share."""
        pool = self._pool(standing.searcher)
        return bool(pool.idle) or pool.open_count < self._share(pool)

    def follow(self) -> None:
        """Drop the pools of searchers that are listed no more."""
        listed = self._deployment.all_searchers()
        with self._lock:
            gone = [
                self._pool_by_id.pop(searcher_id)
                for searcher_id in tuple(self._pool_by_id)
                if not _is_same(
                    listed.get(searcher_id),
                    self._pool_by_id[searcher_id].standing.searcher,
                )
            ]
        for pool in gone:
            for connection in pool.idle:
                connection.close()

    def close_idle(self) -> None:
        """Close the connections that were not used for their time."""
        now = self._clock.monotonic()
        with self._lock:
            old = []
            for pool in self._pool_by_id.values():
                ended = [one for one in pool.idle if one.usable_until <= now]
                pool.idle = [one for one in pool.idle if one.usable_until > now]
                pool.open_count -= len(ended)
                old += ended
        for connection in old:
            connection.close()

    def _cost(self, standing: Standing) -> float:
        spread = 1 + self._source.random() * JITTER
        return standing.expected() * spread + self._crowding(standing)

    def _crowding(self, standing: Standing) -> float:
        """Return what waiting for a connection costs, in seconds."""
        return 0 if self.has_room(standing) else standing.trip + CROWDED_PENALTY

    def _note_connect(self, connection: SearcherConnection) -> None:
        seconds, connection.connect_seconds = connection.connect_seconds, None
        if seconds is not None:
            self._trips.note_connect(connection.searcher.zone, seconds)

    def _share(self, pool: SearcherPool) -> int:
        table = self._deployment.table
        service = pool.standing.searcher.service
        cap = table.connections_by_service.get(service, 1) if table else 1
        return max(1, int(cap * USED_OF_CAP / max(self._fleet_size(), 1)))

    def _pool(self, searcher: Searcher) -> SearcherPool:
        pool = self._pool_by_id.get(searcher.searcher_id)
        if pool is not None and _is_same(searcher, pool.standing.searcher):
            return pool
        trip = self._trips.to_zone(searcher.zone)
        with self._lock:
            fresh = SearcherPool(Standing(searcher, self._clock, trip))
            self._pool_by_id[searcher.searcher_id] = fresh
        return fresh


def _is_same(listed: Searcher | None, known: Searcher) -> bool:
    """Return whether an entry is that of the process that is known."""
    return (
        listed is not None
        and listed.address == known.address
        and listed.started_ms == known.started_ms
    )
