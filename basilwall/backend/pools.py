"""Connection pools of all searchers in the catalogues.

A searcher that is added to a catalogue entry gets a pool. The pool of a
searcher that no snapshot lists any more is closed once its attempts have
ended and no query is pinned to a snapshot that lists it.
"""

import random
import threading
from collections import Counter
from collections.abc import Collection, Iterator
from contextlib import contextmanager
from itertools import chain

from basilwall.backend.pool import SearcherPool
from basilwall.parts.clock import Clock
from basilwall.parts.leaving_searchers import LeavingSearchers
from basilwall.parts.replica_choice import choose_replica
from basilwall.parts.tasks import TaskGroup
from basilwall.records.catalogue import Catalogue, Part, Snapshot
from basilwall.records.ids import SearcherAddress, ServiceName


class SearcherPools:
    """All pools, by searcher address.

    `max_vms` is the highest number of VMs, which share the connections that a
    searcher accepts.
    """

    def __init__(
        self,
        tasks: TaskGroup,
        clock: Clock,
        leaving_searchers: LeavingSearchers,
        max_vms: int,
        rng: random.Random,
    ) -> None:
        self.by_address: dict[SearcherAddress, SearcherPool] = {}
        self._tasks = tasks
        self._clock = clock
        self._leaving_searchers = leaving_searchers
        self._max_vms = max_vms
        self._rng = rng
        self._addresses_by_service: dict[ServiceName, set[SearcherAddress]] = {}
        self._retain_count_by_address: Counter[SearcherAddress] = Counter()
        self._retired: set[SearcherAddress] = set()
        self._lock = threading.Lock()

    def apply_catalogue(self, catalogue: Catalogue) -> None:
        """Open and close pools so that they match a catalogue entry."""
        share = max(1, catalogue.connections // self._max_vms)
        listed = set(
            chain.from_iterable(
                _searchers_of(snapshot) for snapshot in catalogue.snapshots
            ),
        )
        with self._lock:
            self._close_resized(listed, share)
            for address in listed - self.by_address.keys():
                self._open(address, share)
            self._addresses_by_service[catalogue.service] = listed
            all_listed = set().union(*self._addresses_by_service.values())
            self._retired = self.by_address.keys() - all_listed
            self._close_unretained(self._retired)

    @contextmanager
    def retain(self, snapshot: Snapshot) -> Iterator[None]:
        """Keep the pools of a snapshot open during a `with` block.

        Args:
            snapshot: The snapshot that a query is pinned to.

        Yields:
            Nothing.
        """
        addresses = _searchers_of(snapshot)
        with self._lock:
            self._retain_count_by_address.update(addresses)
        try:
            yield
        finally:
            with self._lock:
                self._retain_count_by_address -= Counter(addresses)
                self._close_unretained(self._retired.intersection(addresses))

    def is_reachable(self, address: SearcherAddress) -> bool:
        """Return whether there is a pool whose searcher is reachable."""
        pool = self.by_address.get(address)
        return pool is not None and pool.is_reachable

    def pick(
        self,
        part: Part,
        tried: Collection[SearcherAddress],
    ) -> SearcherPool | None:
        """Choose a searcher for one attempt at a part.

        Args:
            part: The part of the pinned snapshot.
            tried: Searchers to exclude, as a rule those that this request
                already used for the part.

        Returns:
            A pool, or None if no searcher is left.
        """
        usable = [
            pool
            for address in part.searchers
            if address not in tried
            and not self._leaving_searchers.is_leaving(address)
            and (pool := self.by_address.get(address)) is not None
        ]
        reachable = [pool for pool in usable if pool.is_reachable]
        return choose_replica(
            reachable or usable, self._rng, is_extra=bool(tried)
        )

    def close(self) -> None:
        """Close all pools after their queued attempts have ended."""
        with self._lock:
            for pool in self.by_address.values():
                pool.close()
            self.by_address = {}
            self._retired = set()

    def _close_unretained(self, addresses: set[SearcherAddress]) -> None:
        for address in tuple(addresses):
            if address in self._retain_count_by_address:
                continue
            self._retired.discard(address)
            self.by_address.pop(address).close()

    def _close_resized(
        self,
        listed: Collection[SearcherAddress],
        share: int,
    ) -> None:
        for address in self.by_address.keys() & listed:
            if self.by_address[address].connections != share:
                self.by_address.pop(address).close()

    def _open(self, address: SearcherAddress, share: int) -> None:
        pool = SearcherPool(
            address,
            share,
            self._clock,
            self._leaving_searchers,
        )
        self.by_address[address] = pool
        pool.start(self._tasks)


def _searchers_of(snapshot: Snapshot) -> tuple[SearcherAddress, ...]:
    return tuple(
        chain.from_iterable(part.searchers for part in snapshot.parts),
    )
