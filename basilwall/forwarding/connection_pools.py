"""Connection pools of this VM, one for each searcher.

The connection cap of a searcher covers all VMs together, so each VM keeps to
its share of it. Idle connections are reused last in, first out, so that
surplus ones reach their idle timeout and are closed.
"""

import logging
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

#: Share of a connection cap that all VMs together aim to use.
CONNECTION_CAP_USE_RATIO = 0.85

_log = logging.getLogger(__name__)


class PooledConnection(ABC):
    """A connection that carries one attempt after another.

    `usable_until` is in monotonic seconds; `connect_seconds` is how long it
    took to connect, None once that time has been recorded. `is_prepared` is
    True if connecting began before an attempt needed it, so that nobody looks
    when it ends.
    """

    searcher: Searcher
    usable_until: float
    connect_seconds: float | None
    is_prepared: bool

    @abstractmethod
    def has_input(self) -> bool:
        """Return whether data or end of stream followed the last reply."""

    @abstractmethod
    def close(self) -> None:
        """Close it; the searcher then aborts the request on it."""


ConnectionT = TypeVar('ConnectionT', bound=PooledConnection)


class _Pool(Generic[ConnectionT]):
    """The open connections to one searcher; `idle` are the unused ones."""

    def __init__(self, searcher: Searcher) -> None:
        self.searcher = searcher
        self.open_count = 0
        self.idle: list[ConnectionT] = []


class ConnectionPools(ConnectionAvailability, Generic[ConnectionT]):
    """The connection pools of all searchers."""

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
        """Return an idle connection to a searcher, or open a new one.

        Raises:
            OSError: If this VM can't open a socket.
        """
        pool = self._pool(searcher)
        now = self._clock.monotonic()
        while True:
            with self._lock:
                idle_connection = pool.idle.pop() if pool.idle else None
                if idle_connection is None:
                    opened = self._connect(searcher)
                    pool.open_count += 1
                    return opened
            if (
                idle_connection.usable_until > now
                and not idle_connection.has_input()
            ):
                return idle_connection
            self.discard(idle_connection)

    def prepare(self, searcher: Searcher) -> ConnectionT | None:
        """Begin to connect to a searcher that may get an attempt soon.

        Args:
            searcher: The searcher.

        Returns:
            The connection; None if there is an idle one, or no room for one.
        """
        pool = self._pool(searcher)
        with self._lock:
            if pool.idle or pool.open_count >= self._share(searcher):
                return None
            try:
                opened = self._connect(searcher)
            except OSError as error:
                _log.info(
                    'connection not prepared',
                    extra={
                        'searcher': searcher.searcher_id,
                        'error': str(error),
                    },
                )
                return None
            opened.is_prepared = True
            pool.open_count += 1
            pool.idle.append(opened)
        return opened

    def check_in(self, connection: ConnectionT) -> None:
        """Return a connection to its pool after its reply was read."""
        self._record_connect_time(connection)
        pool = self._pools_by_id.get(connection.searcher.searcher_id)
        may_keep = (
            pool is not None
            # The searcher may have restarted in the meantime.
            and is_same_process(connection.searcher, pool.searcher)
            and pool.open_count <= self._share(pool.searcher)
        )
        if pool is None or not may_keep:
            self.discard(connection)
            return
        with self._lock:
            pool.idle.append(connection)

    def discard(self, connection: ConnectionT) -> None:
        """Close a connection and remove it from its pool."""
        self._record_connect_time(connection)
        connection.close()
        searcher = connection.searcher
        pool = self._pools_by_id.get(searcher.searcher_id)
        if pool is not None and is_same_process(searcher, pool.searcher):
            with self._lock:
                pool.open_count -= 1

    def has_idle_connection(self, searcher: Searcher) -> bool:
        """Return whether an idle connection is available."""
        return bool(self._pool(searcher).idle)

    def may_open_connection(self, searcher: Searcher) -> bool:
        """Return whether this VM's share allows one more connection."""
        return self._pool(searcher).open_count < self._share(searcher)

    def drop_unlisted(self) -> None:
        """Drop the pools of searchers that are no longer listed."""
        listed = self._routing_state.all_searchers()
        with self._lock:
            dropped = [
                self._pools_by_id.pop(searcher_id)
                for searcher_id, pool in tuple(self._pools_by_id.items())
                if not is_same_process(listed.get(searcher_id), pool.searcher)
            ]
        for pool in dropped:
            for connection in pool.idle:
                connection.close()

    def close_idle(self) -> None:
        """Close the connections that have reached their idle timeout."""
        now = self._clock.monotonic()
        with self._lock:
            expired = []
            for pool in self._pools_by_id.values():
                closing = [
                    idle_connection
                    for idle_connection in pool.idle
                    if idle_connection.usable_until <= now
                ]
                pool.idle = [
                    idle_connection
                    for idle_connection in pool.idle
                    if idle_connection.usable_until > now
                ]
                pool.open_count -= len(closing)
                expired += closing
        for connection in expired:
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
        created = _Pool[ConnectionT](searcher)
        with self._lock:
            self._pools_by_id[searcher.searcher_id] = created
        return created
