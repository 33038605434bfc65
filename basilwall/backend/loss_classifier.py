"""Decides whether a searcher was lost to a crash of its own or to an outage.

Request content that crashes searchers affects only those that ran it. The
outage of an availability zone or a rack affects unrelated searchers as well,
so some of these are probed together with the lost one.
"""

import random
import threading
import zlib
from collections.abc import Callable, Collection
from dataclasses import dataclass

from basilwall.backend.probe import find_dead
from basilwall.parts.clock import Clock
from basilwall.records.ids import SearcherAddress, ServiceName
from basilwall.records.strike import Evidence

#: Duration of the first probe of a lost searcher, and of the unrelated ones.
PROBE_SECONDS = 0.15
#: Duration of the second probe of a lost searcher that still accepts.
LONG_PROBE_SECONDS = 0.6
#: Unrelated searchers probed, and how many must have died for an outage.
MAX_UNRELATED_PROBED = 12
MIN_UNRELATED_DEAD = 2
#: Searchers that are first seen dead later than this before a loss died in the
#: same outage. The next loss under the same content comes later than that, so
#: one outage excuses the content only once.
SIMULTANEOUS_SECONDS = 0.1

#: Returns the searchers that may be probed for a lost one, by its service.
ListSearchers = Callable[[ServiceName], Collection[SearcherAddress]]
#: Returns the searchers that a content may have crashed.
ListExcluded = Callable[[], Collection[SearcherAddress]]
Probe = Callable[[Collection[SearcherAddress], float], set[SearcherAddress]]


@dataclass(frozen=True, slots=True)
class LostSearcher:
    """A searcher whose connection was lost, at a monotonic time."""

    service: ServiceName
    address: SearcherAddress
    lost_at: float


class LossClassifier:
    """Probes a lost searcher and unrelated ones, and rates the evidence."""

    def __init__(
        self,
        list_searchers: ListSearchers,
        clock: Clock,
        rng: random.Random,
        probe: Probe = find_dead,
        probe_lost: Probe | None = None,
    ) -> None:
        """Make a classifier.

        Args:
            list_searchers: Returns the searchers that may be probed.
            clock: Dates deaths.
            rng: Draws the order in which searchers are probed.
            probe: Returns which of some searchers are not reached.
            probe_lost: Returns which of some lost searchers have ended, before
                others are probed; None if those that are not reached have.
        """
        self._list_searchers = list_searchers
        self._clock = clock
        self._salt = rng.random()
        self._probe = probe
        self._probe_lost = probe_lost
        self._dead_since: dict[SearcherAddress, float] = {}
        self._lock = threading.Lock()

    def classify(
        self,
        lost: LostSearcher,
        find_excluded: ListExcluded,
        other_lost: Collection[SearcherAddress],
    ) -> Evidence:
        """Classify the loss of a connection to a searcher.

        Args:
            lost: The searcher, and when its connection was lost.
            find_excluded: Returns the searchers whose death is no sign of an
                outage, because a content may have crashed them; called before
                the probe of the others and after it.
            other_lost: Searchers lost under the same content; they are probed
                as well, unless they are excluded.

        Returns:
            LOST if the searcher has not ended. Otherwise SPARED if unrelated
            searchers died at the same time, or if none of them is reached;
            else DIED.
        """
        searcher = lost.address
        if self._probe_lost and not _is_found_dead(self._probe_lost, searcher):
            return Evidence.LOST
        ineligible = {searcher, *find_excluded()}
        unrelated = self._choose_unrelated(
            lost.service, ineligible | set(other_lost)
        )
        unrelated.update(
            sorted(set(other_lost) - ineligible)[:MAX_UNRELATED_PROBED]
        )
        dead = self._probe([searcher, *unrelated], PROBE_SECONDS)
        newly_dead = self._dead_since_loss(lost, {searcher, *unrelated}, dead)
        unrelated.difference_update(find_excluded())
        is_outage = len(newly_dead & unrelated) >= MIN_UNRELATED_DEAD
        # Without any link to a searcher, this VM can't tell what ended one.
        has_no_links = bool(unrelated) and unrelated <= dead
        if is_outage or has_no_links:
            return Evidence.SPARED
        if self._probe_lost or searcher in dead:
            return Evidence.DIED
        has_died = self._probe([searcher], LONG_PROBE_SECONDS)
        return Evidence.DIED if has_died else Evidence.LOST

    def find_simultaneous(
        self, lost: LostSearcher, excluded: Collection[SearcherAddress]
    ) -> set[SearcherAddress]:
        """Probe unrelated searchers, and return those that ended with one.

        Args:
            lost: The searcher that was lost, a moment ago.
            excluded: Searchers whose death is no sign of an outage.
        """
        unrelated = self._choose_unrelated(lost.service, set(excluded))
        dead = self._probe(sorted(unrelated), PROBE_SECONDS)
        return self._dead_since_loss(lost, unrelated, dead)

    def note_alive(self, searcher: SearcherAddress) -> None:
        """Record that a searcher has answered."""
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
        """Rank searchers in the same order each time.

        The same searchers are probed again, so an old death is recognised as
        old and not taken for part of a new outage.
        """
        return zlib.crc32(f'{self._salt}/{searcher}'.encode())

    def _dead_since_loss(
        self,
        lost: LostSearcher,
        probed: set[SearcherAddress],
        dead: set[SearcherAddress],
    ) -> set[SearcherAddress]:
        now = self._clock.monotonic()
        # Probes may end long after the loss that they look into.
        died_after = lost.lost_at - SIMULTANEOUS_SECONDS
        with self._lock:
            for alive in probed - dead:
                self._dead_since.pop(alive, None)
            return {
                address
                for address in probed & dead
                if self._dead_since.setdefault(address, now) > died_after
            }


def _is_found_dead(probe: Probe, searcher: SearcherAddress) -> bool:
    """Return whether a probe finds a searcher dead, now or a little later."""
    # A process that is ending may still accept connections for a moment.
    return any(
        probe([searcher], seconds)
        for seconds in (PROBE_SECONDS, LONG_PROBE_SECONDS)
    )
