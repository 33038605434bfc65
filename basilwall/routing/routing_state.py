"""What the platform published and is in force: routes and searchers.

Values come from the platform and from other VMs, in any order; the register
of revisions lets only newer ones through to here. A removal that is learned
right after the platform was out of reach is held for a while, because entries
lapse there while it is down, and those of live searchers come back.
"""

import logging
import threading
from abc import ABC, abstractmethod
from collections import defaultdict
from collections.abc import Callable, Mapping
from types import MappingProxyType

from basilwall.parts.clock import Clock
from basilwall.records.catalogue import PublishedValue
from basilwall.records.ids import SearcherAddress, SearcherId, ServiceName
from basilwall.records.routes import RouteTable
from basilwall.records.searcher import Searcher

#: Lapsed entries of live searchers are back within this time, in seconds.
LAPSED_ENTRY_RETURN_SECONDS = 2.2

_log = logging.getLogger(__name__)

SearchersByService = Mapping[ServiceName, tuple[Searcher, ...]]


class InvalidValueError(Exception):
    """A published value that has another form than its key asks for."""


class ValueReader(ABC):
    """Reads published values; met by the adapter of a platform."""

    @abstractmethod
    def is_route_table_key(self, key: str) -> bool:
        """Return whether the route table stands under `key`."""

    @abstractmethod
    def is_searcher_key(self, key: str) -> bool:
        """Return whether a searcher's entry stands under `key`."""

    @abstractmethod
    def read_route_table(self, body: bytes) -> RouteTable:
        """Read the route table.

        Raises:
            UnreadableError: If it has another form.
        """

    @abstractmethod
    def read_searcher(self, key: str, body: bytes) -> Searcher:
        """Read a searcher's entry.

        Raises:
            UnreadableError: If it has another form.
        """


class RoutingState:
    """The routes and searchers in force."""

    def __init__(self, reader: ValueReader, clock: Clock) -> None:
        self.table: RouteTable | None = None
        #: Asked for the moment up to which removals are in doubt.
        self.removals_held_until: Callable[[], float] = lambda: float('-inf')
        self._reader = reader
        self._clock = clock
        self._searchers_by_key: dict[str, Searcher] = {}
        self._hold_ends_by_key: dict[str, float] = {}
        self._searchers_by_service: SearchersByService = MappingProxyType({})
        self._searchers_by_id: Mapping[SearcherId, Searcher] = MappingProxyType(
            {}
        )
        self._listeners: list[Callable[[], None]] = []
        self._lock = threading.RLock()

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Call `listener` after each change of the searchers."""
        self._listeners.append(listener)

    def accept(self, published: PublishedValue) -> str:
        """Put a newer value in force.

        Args:
            published: The value; an empty body is that of a removed key.

        Returns:
            The reason if the value is refused, else an empty text.
        """
        key = published.key
        if self._reader.is_route_table_key(key):
            return self._accept_table(published)
        if self._reader.is_searcher_key(key):
            with self._lock:
                self._accept_searcher(published)
                self._rebuild()
        return ''

    def searchers(self, service: ServiceName) -> tuple[Searcher, ...]:
        """Return the searchers of a service that may get new work."""
        if self._hold_ends_by_key:
            self._remove_expired_holds()
        return self._searchers_by_service.get(service, ())

    def all_addresses(self, service: ServiceName) -> set[SearcherAddress]:
        """Return the addresses of all searchers, of `service` or not.

        A cut of a zone or a rack takes searchers of many services.
        """
        return {one.address for one in self._searchers_by_id.values()}

    def is_usable(self, searcher: Searcher) -> bool:
        """Return whether a searcher may still get new work."""
        if self._hold_ends_by_key:
            self._remove_expired_holds()
        known = self._searchers_by_id.get(searcher.searcher_id)
        return known is not None and not known.is_leaving

    def all_searchers(self) -> Mapping[SearcherId, Searcher]:
        """Return all listed searchers, those that leave among them."""
        return self._searchers_by_id

    def _accept_table(self, published: PublishedValue) -> str:
        if not published.body:
            return 'the route table can not be removed'
        try:
            table = self._reader.read_route_table(published.body)
        except InvalidValueError as error:
            return str(error)
        former = self.table
        if former is not None and table.version < former.version:
            return f'version {table.version} is older than the one in force'
        self.table = table
        _log.info(
            'route table in force',
            extra={
                'version': table.version,
                'revision': published.revision,
                'former': former.version if former else None,
            },
        )
        return ''

    def _accept_searcher(self, published: PublishedValue) -> None:
        key = published.key
        if not published.body:
            self._remove(published)
            return
        try:
            searcher = self._reader.read_searcher(key, published.body)
        except InvalidValueError as error:
            _log.warning(
                'entry names no searcher',
                extra={
                    'key': key,
                    'revision': published.revision,
                    'error': str(error),
                },
            )
            self._searchers_by_key.pop(key, None)
            self._hold_ends_by_key.pop(key, None)
            return
        former = self._searchers_by_key.get(key)
        self._searchers_by_key[key] = searcher
        self._hold_ends_by_key.pop(key, None)
        if former is None or former.is_leaving != searcher.is_leaving:
            _log.info(
                'searcher listed',
                extra={
                    'searcher': searcher.searcher_id,
                    'service': searcher.service,
                    'leaving': searcher.is_leaving,
                    'revision': published.revision,
                },
            )

    def _remove(self, published: PublishedValue) -> None:
        key = published.key
        if key not in self._searchers_by_key:
            return
        doubted_until = self.removals_held_until()
        held = doubted_until > self._clock.monotonic()
        if held:
            self._hold_ends_by_key[key] = doubted_until
        else:
            self._searchers_by_key.pop(key)
        _log.info(
            'searcher removed',
            extra={
                'key': key,
                'revision': published.revision,
                'held': held,
            },
        )

    def _remove_expired_holds(self) -> None:
        now = self._clock.monotonic()
        with self._lock:
            over = [
                key
                for key, until in self._hold_ends_by_key.items()
                if until <= now
            ]
            for key in over:
                self._hold_ends_by_key.pop(key)
                self._searchers_by_key.pop(key, None)
                _log.info('searcher did not come back', extra={'key': key})
            if over:
                self._rebuild()

    def _rebuild(self) -> None:
        by_service: defaultdict[ServiceName, list[Searcher]] = defaultdict(list)
        for searcher in self._searchers_by_key.values():
            if not searcher.is_leaving:
                by_service[searcher.service].append(searcher)
        self._searchers_by_service = {
            service: tuple(ones) for service, ones in by_service.items()
        }
        self._searchers_by_id = {
            one.searcher_id: one for one in self._searchers_by_key.values()
        }
        for listener in self._listeners:
            listener()
