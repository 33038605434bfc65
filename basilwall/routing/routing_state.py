"""The current route table and searchers, as published by the platform.

Values arrive from the platform and from other VMs in any order; the revision
register passes only newer ones on. The platform's entries expire while it is
down, and live searchers register again when it is back. So a removal that is
learned right after an outage of the platform takes effect with a delay.
"""

import logging
import threading
from abc import ABC, abstractmethod
from collections import defaultdict
from collections.abc import Callable, Mapping
from dataclasses import replace
from types import MappingProxyType

from basilwall.parts.clock import Clock
from basilwall.records.catalogue import PublishedValue
from basilwall.records.ids import SearcherAddress, SearcherId, ServiceName
from basilwall.records.routes import RouteTable
from basilwall.records.searcher import (
    Searcher,
    SearcherProcess,
    is_same_process,
    process_of,
)
from basilwall.routing.leaving_processes import LeavingProcesses

#: Live searchers are listed again this soon after an outage of the platform.
LAPSED_ENTRY_RETURN_SECONDS = 2.2

_log = logging.getLogger(__name__)

SearchersByService = Mapping[ServiceName, tuple[Searcher, ...]]


class InvalidValueError(Exception):
    """A published value does not have the form that its key requires."""


class ValueReader(ABC):
    """Interface to the adapter that decodes the platform's published values."""

    @abstractmethod
    def is_route_table_key(self, key: str) -> bool:
        """Return whether `key` is the key of the route table."""

    @abstractmethod
    def is_searcher_key(self, key: str) -> bool:
        """Return whether `key` is the key of a searcher's entry."""

    def is_used_key(self, key: str) -> bool:
        """Return whether the value of a key is of any use here.

        Other writers may keep anything in the store.
        """
        return self.is_route_table_key(key) or self.is_searcher_key(key)

    @abstractmethod
    def read_route_table(self, body: bytes) -> RouteTable:
        """Decode the route table.

        Raises:
            UnreadableError: If it is malformed.
        """

    @abstractmethod
    def read_searcher(self, key: str, body: bytes) -> Searcher:
        """Decode a searcher's entry.

        Raises:
            UnreadableError: If it is malformed.
        """


class RoutingState:
    """The current route table and searchers."""

    def __init__(self, reader: ValueReader, clock: Clock) -> None:
        self.table: RouteTable | None = None
        #: Returns until when removals are held back, in monotonic seconds.
        self.removals_held_until: Callable[[], float] = lambda: float('-inf')
        self._reader = reader
        self._clock = clock
        self._searchers_by_key: dict[str, Searcher] = {}
        self._hold_ends_by_key: dict[str, float] = {}
        self._searchers_by_service: SearchersByService = MappingProxyType({})
        self._searchers_by_id: Mapping[SearcherId, Searcher] = MappingProxyType(
            {}
        )
        #: The processes that have said that they leave.
        self.leaving = LeavingProcesses(clock)
        self._listeners: list[Callable[[], None]] = []
        self._lock = threading.RLock()

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Call `listener` after each change of the searchers."""
        self._listeners.append(listener)

    def accept(self, published: PublishedValue) -> str:
        """Apply a published value.

        Args:
            published: The value; an empty body means that the key was removed.

        Returns:
            The reason if the value is refused, else an empty string.
        """
        key = published.key
        if self._reader.is_route_table_key(key):
            return self._accept_table(published)
        if self._reader.is_searcher_key(key):
            with self._lock:
                reason = self._accept_searcher(published)
                if not reason:
                    self._rebuild()
                return reason
        return ''

    def searchers(self, service: ServiceName) -> tuple[Searcher, ...]:
        """Return the searchers of a service that may get new requests."""
        if self._hold_ends_by_key:
            self._remove_expired_holds()
        return self._searchers_by_service.get(service, ())

    def addresses(self) -> set[SearcherAddress]:
        """Return the addresses of all listed searchers."""
        return {searcher.address for searcher in self._searchers_by_id.values()}

    def all_addresses(self, service: ServiceName) -> set[SearcherAddress]:
        """Return the addresses of the searchers of all services.

        A network cut of an availability zone or a rack affects searchers of
        many services, so `service` does not restrict the result.
        """
        return self.addresses()

    def is_usable(self, searcher: Searcher) -> bool:
        """Return whether a searcher may still get new requests.

        Args:
            searcher: As it was listed when it was chosen; a process that has
                started under its id since then is another searcher.
        """
        if self._hold_ends_by_key:
            self._remove_expired_holds()
        listed = self._searchers_by_id.get(searcher.searcher_id)
        return (
            listed is not None
            and not listed.is_leaving
            and is_same_process(listed, searcher)
        )

    def all_searchers(self) -> Mapping[SearcherId, Searcher]:
        """Return all listed searchers, including leaving ones."""
        return self._searchers_by_id

    def record_leaving(self, process: SearcherProcess, age: float = 0) -> None:
        """Record that a process said in a reply that it is leaving.

        Args:
            process: The process.
            age: How long ago it said so, in seconds; another VM may have been
                told.
        """
        with self._lock:
            if not self.leaving.add(process):
                return
            self.leaving.note_unreported(process, age)
            self._searchers_by_key = {
                key: replace(listed, is_leaving=True)
                if process_of(listed) == process
                else listed
                for key, listed in self._searchers_by_key.items()
            }
            self._rebuild()
        _log.info(
            'searcher says that it leaves',
            extra={
                'searcher': process.searcher_id,
                'started_ms': process.started_ms,
                'age': round(age, 2),
            },
        )

    def _accept_table(self, published: PublishedValue) -> str:
        if not published.body:
            return 'the route table must not be removed'
        try:
            table = self._reader.read_route_table(published.body)
        except InvalidValueError as error:
            return str(error)
        previous = self.table
        if previous is not None and table.version < previous.version:
            return (
                f'version {table.version} is older than current version '
                f'{previous.version}'
            )
        self.table = table
        _log.info(
            'route table in force',
            extra={
                'version': table.version,
                'revision': str(published.revision),
                'former': previous.version if previous else None,
                'unusable_routes': table.unusable_count(),
            },
        )
        return ''

    def _accept_searcher(self, published: PublishedValue) -> str:
        key = published.key
        if not published.body:
            self._remove(published)
            return ''
        try:
            searcher = self._reader.read_searcher(key, published.body)
        except InvalidValueError as error:
            _log.warning(
                'invalid searcher entry',
                extra={
                    'key': key,
                    'revision': str(published.revision),
                    'error': str(error),
                },
            )
            self._searchers_by_key.pop(key, None)
            self._hold_ends_by_key.pop(key, None)
            return ''
        previous = self._searchers_by_key.get(key)
        if searcher.is_leaving:
            self.leaving.add(process_of(searcher))
            self.leaving.note_reported(process_of(searcher))
        elif searcher.started_ms and searcher in self.leaving:
            return 'older than the report that this process leaves'
        self._searchers_by_key[key] = searcher
        self._hold_ends_by_key.pop(key, None)
        if previous is None or previous.is_leaving != searcher.is_leaving:
            _log.info(
                'searcher listed',
                extra={
                    'searcher': searcher.searcher_id,
                    'service': searcher.service,
                    'leaving': searcher.is_leaving,
                    'revision': str(published.revision),
                },
            )
        return ''

    def _remove(self, published: PublishedValue) -> None:
        key = published.key
        if key not in self._searchers_by_key:
            return
        held_until = self.removals_held_until()
        is_held = held_until > self._clock.monotonic()
        if is_held:
            self._hold_ends_by_key[key] = held_until
        else:
            self._searchers_by_key.pop(key)
        _log.info(
            'searcher removed',
            extra={
                'key': key,
                'revision': str(published.revision),
                'held': is_held,
            },
        )

    def _remove_expired_holds(self) -> None:
        now = self._clock.monotonic()
        with self._lock:
            expired = [
                key
                for key, hold_end in self._hold_ends_by_key.items()
                if hold_end <= now
            ]
            for key in expired:
                self._hold_ends_by_key.pop(key)
                self._searchers_by_key.pop(key, None)
                _log.info('searcher did not come back', extra={'key': key})
            if expired:
                self._rebuild()

    def _rebuild(self) -> None:
        by_service: defaultdict[ServiceName, list[Searcher]] = defaultdict(list)
        for searcher in self._searchers_by_key.values():
            if not searcher.is_leaving:
                by_service[searcher.service].append(searcher)
        self._searchers_by_service = {
            service: tuple(searchers_of_service)
            for service, searchers_of_service in by_service.items()
        }
        self._searchers_by_id = {
            listed.searcher_id: listed
            for listed in self._searchers_by_key.values()
        }
        for listener in self._listeners:
            _notify(listener)


def _notify(listener: Callable[[], None]) -> None:
    try:
        listener()
    except Exception:
        _log.exception('listener of searchers failed')
