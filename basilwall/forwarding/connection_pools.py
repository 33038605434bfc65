"""The connections of this VM to all searchers.

The cap of a searcher counts the connections of all VMs together, so a VM
keeps to its share of it. Connections are kept for the next attempt, the one
used last on top, so that those not needed grow idle and are closed.
"""

import threading
from abc import ABC, abstractmethod
from collections.abc import Callable
from typing import Generic, TypeVar

from basilwall.parts.clock import Clock
from basilwall.records.ids import SearcherId
from basilwall.records.searcher import Searcher, is_same_process
from basilwall.routing.location import RoundTripTimes
from basilwall.routing.routing_state import RoutingState
from basilwall.routing.selection import ConnectionAvailability

#: Part of the cap of connections that all VMs together aim to use.
CONNECTION_CAP_USE_RATIO = 0.85


class PooledConnection(ABC):
    """A connection that can carry one attempt after the other.

    `usable_until` is in monotonic seconds; `connect_seconds` is how long it
    took to connect, None once somebody took note of it.
    """

    searcher: Searcher
    usable_until: float
    connect_seconds: float | None

    @abstractmethod
    def has_input(self) -> bool:
        """Return whether bytes, or the end, came after the last reply."""

    @abstractmethod
    def close(self) -> None:
        """Close it; a searcher drops what it runs for it."""


ConnectionT = TypeVar('ConnectionT', bound=PooledConnection)


class _Pool(Generic[ConnectionT]):
    """The kept connections to one searcher."""

    def __init__(self, searcher: Searcher) -> None:
        self.searcher = searcher
        self.open_count = 0
        self.idle: list[ConnectionT] = []


class ConnectionPools(ConnectionAvailability, Generic[ConnectionT]):
    """All pools, by the id of their searcher."""

    def __init__(
        self,
        routing_state: RoutingState,
        round_trips: RoundTripTimes,
        clock: Clock,
        fleet_size: Callable[[], int],
        connect: Callable[[Searcher], ConnectionT],
    ) -> None:
        self._routing_state = routing_state
        self._round_trips = round_trips
        self._clock = clock
        self._fleet_size = fleet_size
        self._connect = connect
        self._pools_by_id: dict[SearcherId, _Pool[ConnectionT]] = {}
        self._lock = threading.Lock()

    def checkout(self, searcher: Searcher) -> ConnectionT:
        """Return a connection to a searcher, a kept one if there is any."""
        pool = self._pool(searcher)
        now = self._clock.monotonic()
        while True:
            with self._lock:
                kept = pool.idle.pop() if pool.idle else None
                if kept is None:
                    pool.open_count += 1
                    return self._connect(searcher)
            if kept.usable_until > now and not kept.has_input():
                return kept
            self.discard(kept)

    def check_in(self, connection: ConnectionT) -> None:
        """Keep a connection whose reply was read to its end."""
        self._record_connect_time(connection)
        pool = self._pools_by_id.get(connection.searcher.searcher_id)
        is_kept = (
            pool is not None
            # The searcher may have started anew meanwhile.
            and is_same_process(connection.searcher, pool.searcher)
            and pool.open_count <= self._share(pool.searcher)
        )
        if pool is None or not is_kept:
            self.discard(connection)
            return
        with self._lock:
            pool.idle.append(connection)

    def discard(self, connection: ConnectionT) -> None:
        """Close a connection."""
        connection.close()
        searcher = connection.searcher
        pool = self._pools_by_id.get(searcher.searcher_id)
        if pool is not None and is_same_process(searcher, pool.searcher):
            with self._lock:
                pool.open_count -= 1

    def has_idle_connection(self, searcher: Searcher) -> bool:
        """Return whether a kept connection is free."""
        return bool(self._pool(searcher).idle)

    def may_open_connection(self, searcher: Searcher) -> bool:
        """Return whether one more connection keeps to this VM's share."""
        return self._pool(searcher).open_count < self._share(searcher)

    def drop_unlisted(self) -> None:
        """Drop the pools of searchers that are listed no more."""
        listed = self._routing_state.all_searchers()
        with self._lock:
            gone = [
                self._pools_by_id.pop(searcher_id)
                for searcher_id, pool in tuple(self._pools_by_id.items())
                if not is_same_process(listed.get(searcher_id), pool.searcher)
            ]
        for pool in gone:
            for connection in pool.idle:
                connection.close()

    def close_idle(self) -> None:
        """Close the connections that were not used for their time."""
        now = self._clock.monotonic()
        with self._lock:
            old = []
            for pool in self._pools_by_id.values():
                ended = [one for one in pool.idle if one.usable_until <= now]
                pool.idle = [one for one in pool.idle if one.usable_until > now]
                pool.open_count -= len(ended)
                old += ended
        for connection in old:
            connection.close()

    def _record_connect_time(self, connection: ConnectionT) -> None:
        seconds, connection.connect_seconds = connection.connect_seconds, None
        if seconds is not None:
            self._round_trips.record_connect_time(
                connection.searcher.zone, seconds
            )

    def _share(self, searcher: Searcher) -> int:
        table = self._routing_state.table
        service = searcher.service
        cap = table.max_connections_by_service.get(service, 1) if table else 1
        return max(
            1, int(cap * CONNECTION_CAP_USE_RATIO / max(self._fleet_size(), 1))
        )

    def _pool(self, searcher: Searcher) -> _Pool[ConnectionT]:
        pool = self._pools_by_id.get(searcher.searcher_id)
        if pool is not None and is_same_process(searcher, pool.searcher):
            return pool
        fresh = _Pool[ConnectionT](searcher)
        with self._lock:
            self._pools_by_id[searcher.searcher_id] = fresh
        return fresh
