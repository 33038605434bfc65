"""Ask whether others died too that had nothing to do with a content.

A content that crashes searchers takes those that ran it. A cut of a zone or
a rack takes others as well.
"""

import random
import threading
import zlib
from collections.abc import Callable, Collection

from basilwall.backend.probe import find_dead
from basilwall.parts.clock import Clock
from basilwall.records.ids import SearcherAddress, ServiceName
from basilwall.records.strike import Evidence

#: How long searchers are watched for their death, in seconds.
PROBE_SECONDS = 0.15
#: How long a searcher that still accepts is watched on, in seconds.
LONG_PROBE_SECONDS = 0.6
#: Searchers asked beside the lost one, and how many must have died as well.
MAX_UNRELATED_PROBED = 12
MIN_UNRELATED_DEAD = 2
#: Searchers first seen dead within this time died together, in seconds. A
#: content's next loss is asked about later than that, so that one cut of a
#: zone spares it once.
SIMULTANEOUS_SECONDS = 0.1

#: Returns searchers to ask beside the lost one, by its service.
ListSearchers = Callable[[ServiceName], Collection[SearcherAddress]]
Probe = Callable[[Collection[SearcherAddress], float], set[SearcherAddress]]


class LossClassifier:
    """Asks a searcher that was lost, and others beside it, for a sign."""

    def __init__(
        self,
        list_searchers: ListSearchers,
        clock: Clock,
        rng: random.Random,
        probe: Probe = find_dead,
    ) -> None:
        self._list_searchers = list_searchers
        self._clock = clock
        self._salt = rng.random()
        self._probe = probe
        self._dead_since: dict[SearcherAddress, float] = {}
        self._lock = threading.Lock()

    def classify(
        self,
        service: ServiceName,
        searcher: SearcherAddress,
        concerned: Collection[SearcherAddress],
        also_lost: Collection[SearcherAddress],
    ) -> Evidence:
        """Find out how a searcher was lost.

        Args:
            service: The service that it serves.
            searcher: The searcher whose connection broke.
            concerned: Searchers whose death would say nothing.
            also_lost: Searchers lost with it that are asked before others.

        Returns:
            SPARED if others died at the same time, else DIED or LOST.
        """
        left_out = {searcher, *concerned}
        beside = self._choose_unrelated(service, left_out | set(also_lost))
        beside.update(sorted(set(also_lost) - left_out)[:MAX_UNRELATED_PROBED])
        dead = self._probe([searcher, *beside], PROBE_SECONDS)
        newly_dead = self._newly_dead({searcher, *beside}, dead)
        if len(newly_dead & beside) >= MIN_UNRELATED_DEAD:
            return Evidence.SPARED
        if searcher in dead or self._probe([searcher], LONG_PROBE_SECONDS):
            return Evidence.DIED
        return Evidence.LOST

    def note_alive(self, searcher: SearcherAddress) -> None:
        """Note that a searcher has answered."""
        if searcher in self._dead_since:
            with self._lock:
                self._dead_since.pop(searcher, None)

    def _choose_unrelated(
        self,
        service: ServiceName,
        excluded: set[SearcherAddress],
    ) -> set[SearcherAddress]:
        others = set(self._list_searchers(service)) - excluded
        return set(sorted(others, key=self._rank)[:MAX_UNRELATED_PROBED])

    def _rank(self, searcher: SearcherAddress) -> int:
        """Rank searchers the same way each time, so that old deaths show."""
        return zlib.crc32(f'{self._salt}/{searcher}'.encode())

    def _newly_dead(
        self,
        probed: set[SearcherAddress],
        dead: set[SearcherAddress],
    ) -> set[SearcherAddress]:
        now = self._clock.monotonic()
        with self._lock:
            for alive in probed - dead:
                self._dead_since.pop(alive, None)
            return {
                address
                for address in probed & dead
                if now - self._dead_since.setdefault(address, now)
                < SIMULTANEOUS_SECONDS
            }
