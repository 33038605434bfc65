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
REPORT_TTL_SECONDS = 30.0
#: A searcher that lacks a snapshot is asked again this late, in seconds.
PROBE_INTERVAL_SECONDS = 1.0
#: An entry this old is renewed by a reply that says the same, in seconds.
REFRESH_INTERVAL_SECONDS = 1.0
MAX_SEARCHERS = 20_000
MAX_DENIALS = 20_000

_Denial = tuple[SearcherAddress, SnapshotId]


@dataclass(frozen=True, slots=True)
class SnapshotReport:
    """The snapshots that a searcher named in a reply."""

    serves: tuple[SnapshotId, ...]
    reported_at: float


class ServedSnapshots:
    """The last sighting of each searcher, capped, oldest forgotten first.

    A denial is kept by itself where the searcher names no snapshots, or names
    one that it then does not answer from.
    """

    def __init__(
        self,
        clock: Clock,
        belief: float = REPORT_TTL_SECONDS,
        max_searchers: int = MAX_SEARCHERS,
    ) -> None:
        self._clock = clock
        self._belief = belief
        self._max_searchers = max_searchers
        self._by_address: OrderedDict[SearcherAddress, SnapshotReport] = (
            OrderedDict()
        )
        self._denied_at: OrderedDict[_Denial, float] = OrderedDict()
        self._lock = threading.Lock()

    def record_reply(
        self,
        address: SearcherAddress,
        serves: tuple[SnapshotId, ...],
        asked: SnapshotId,
        *,
        is_denied: bool,
    ) -> None:
        """Note what a reply said.

        Args:
            address: The searcher.
            serves: The snapshots that it says it serves, if it says so.
            asked: The snapshot that it was asked for.
            is_denied: True if it did not answer from that snapshot.
        """
        if serves:
            self._note_serves(address, serves)
        if is_denied and (not serves or asked in serves):
            self._note_denial((address, asked))
        elif (address, asked) in self._denied_at:
            with self._lock:
                self._denied_at.pop((address, asked), None)

    def lacks(self, address: SearcherAddress, snapshot: SnapshotId) -> bool:
        """Return whether a searcher is known not to serve a snapshot."""
        denied_at = self._denied_at.get((address, snapshot))
        if denied_at is not None and self._is_fresh(denied_at):
            return True
        held = self._by_address.get(address)
        if held is None or snapshot in held.serves:
            return False
        return self._is_fresh(held.reported_at)

    def claim_probe(
        self,
        address: SearcherAddress,
        snapshot: SnapshotId,
    ) -> bool:
        """Return whether to ask a searcher again that lacks a snapshot.

        A searcher that is never asked would be passed over for long after it
        loaded the snapshot, so one attempt in a while goes to it.

        Args:
            address: A searcher that is known to lack the snapshot.
            snapshot: The snapshot to ask for.

        Returns:
            True for one caller in each `PROBE_AFTER`.
        """
        now = self._clock.monotonic()
        with self._lock:
            denied_at = self._denied_at.get((address, snapshot))
            held = self._by_address.get(address)
            known_at = max(denied_at or 0, held.reported_at if held else 0)
            if now - known_at < PROBE_INTERVAL_SECONDS:
                return False
            if denied_at is not None:
                self._denied_at[address, snapshot] = now
            if held is not None:
                self._by_address[address] = SnapshotReport(held.serves, now)
        return True

    def __len__(self) -> int:
        """Return how many searchers are remembered."""
        return len(self._by_address)

    def _is_fresh(self, noted_at: float) -> bool:
        return self._clock.monotonic() - noted_at < self._belief

    def _note_serves(
        self,
        address: SearcherAddress,
        serves: tuple[SnapshotId, ...],
    ) -> None:
        now = self._clock.monotonic()
        held = self._by_address.get(address)
        recent = (
            held is not None
            and now - held.reported_at < REFRESH_INTERVAL_SECONDS
        )
        if recent and held is not None and held.serves == serves:
            return
        with self._lock:
            self._by_address[address] = SnapshotReport(serves, now)
            self._by_address.move_to_end(address)
            while len(self._by_address) > self._max_searchers:
                self._by_address.popitem(last=False)

    def _note_denial(self, denial: _Denial) -> None:
        with self._lock:
            self._denied_at[denial] = self._clock.monotonic()
            self._denied_at.move_to_end(denial)
            while len(self._denied_at) > MAX_DENIALS:
                self._denied_at.popitem(last=False)
