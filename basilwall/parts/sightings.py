"""Which snapshots each searcher was last seen to serve.

The platform publishes a snapshot before every searcher has loaded it. What
the replies say is newer than what is published, so it decides; an entry ends
by itself, because a searcher that is not asked any more may have moved on.
"""

import threading
from collections import OrderedDict
from dataclasses import dataclass

from basilwall.parts.clock import Clock
from basilwall.records.ids import SearcherAddress, SnapshotId

#: How long a reply is believed, in seconds.
BELIEF = 30.0
#: An entry this old is renewed by a reply that says the same, in seconds.
RENEWAL = 1.0
MAX_SEARCHERS = 20_000


@dataclass(frozen=True, slots=True)
class Sighting:
    """What one reply said; `serves` is empty if it named no snapshots."""

    serves: tuple[SnapshotId, ...]
    denied: SnapshotId | None
    seen_at: float

    def repeats(self, former: 'Sighting | None') -> bool:
        """Return whether a recent sighting said the same."""
        if former is None or self.seen_at - former.seen_at >= RENEWAL:
            return False
        same_serves = self.serves == former.serves
        return same_serves and self.denied == former.denied


class Sightings:
    """The last sighting of each searcher, capped, oldest forgotten first."""

    def __init__(
        self,
        clock: Clock,
        belief: float = BELIEF,
        max_searchers: int = MAX_SEARCHERS,
    ) -> None:
        self._clock = clock
        self._belief = belief
        self._max_searchers = max_searchers
        self._by_address: OrderedDict[SearcherAddress, Sighting] = OrderedDict()
        self._lock = threading.Lock()

    def note(
        self,
        address: SearcherAddress,
        serves: tuple[SnapshotId, ...],
        denied: SnapshotId | None = None,
    ) -> None:
        """Note what a reply said.

        Args:
            address: The searcher.
            serves: The snapshots that it says it serves.
            denied: The snapshot asked for, if it did not answer from it.
        """
        now = self._clock.monotonic()
        sighting = Sighting(serves, denied, now)
        if sighting.repeats(self._by_address.get(address)):
            return
        with self._lock:
            self._by_address[address] = sighting
            self._by_address.move_to_end(address)
            while len(self._by_address) > self._max_searchers:
                self._by_address.popitem(last=False)

    def lacks(self, address: SearcherAddress, snapshot: SnapshotId) -> bool:
        """Return whether a searcher is known not to serve a snapshot."""
        held = self._by_address.get(address)
        if held is None:
            return False
        if self._clock.monotonic() - held.seen_at >= self._belief:
            return False
        if snapshot == held.denied:
            return True
        return bool(held.serves) and snapshot not in held.serves

    def __len__(self) -> int:
        """Return how many searchers are remembered."""
        return len(self._by_address)
