"""Searchers that are leaving, by whichever sign came first.

The fleet list lags, so a drain sign in a reply, a refused connection or a
peer's word counts as much. A mark ends by itself, because the same address
may come back with a new process.
"""

import threading

from basilwall.parts.clock import Clock
from basilwall.records.ids import SearcherAddress

#: How long one sign is believed, in seconds.
BELIEF = 30.0


class Departures:
    """Addresses that get no new work for now."""

    def __init__(self, clock: Clock, belief: float = BELIEF) -> None:
        self._clock = clock
        self._belief = belief
        self._seen_at_by_address: dict[SearcherAddress, float] = {}
        self._lock = threading.Lock()

    def mark(self, address: SearcherAddress, age: float = 0) -> bool:
        """Note a sign that `address` is leaving.

        Args:
            address: The searcher.
            age: How long ago the sign was seen, in seconds.

        Returns:
            True if the searcher was not known to be leaving.
        """
        seen_at = self._clock.monotonic() - age
        with self._lock:
            former = self._seen_at_by_address.get(address)
            fresh = former is None or former + self._belief < seen_at
            self._seen_at_by_address[address] = max(former or 0, seen_at)
        return fresh

    def is_leaving(self, address: SearcherAddress) -> bool:
        """Return whether a sign for `address` is still believed."""
        seen_at = self._seen_at_by_address.get(address)
        if seen_at is None:
            return False
        return self._clock.monotonic() - seen_at < self._belief

    def ages(self) -> dict[SearcherAddress, float]:
        """Return the age of each sign still believed, in seconds."""
        now = self._clock.monotonic()
        with self._lock:
            self._seen_at_by_address = {
                address: seen_at
                for address, seen_at in self._seen_at_by_address.items()
                if now - seen_at < self._belief
            }
            return {
                address: now - seen_at
                for address, seen_at in self._seen_at_by_address.items()
            }
