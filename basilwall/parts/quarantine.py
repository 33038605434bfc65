"""Fingerprints of requests that crash the searchers which run them.

A strike is a distinct searcher that died while it ran a request of that
content. After the first strike the request runs on one searcher at a time;
after the second nobody runs it until the entry expires.
"""

import threading
from collections import OrderedDict
from dataclasses import dataclass, field
from enum import Enum

from basilwall.parts.clock import Clock
from basilwall.records.ids import Fingerprint, SearcherAddress

STRIKES_TO_QUARANTINE = 2
#: How long an entry is kept after its last strike, in seconds.
EXPIRY = 300.0
MAX_ENTRIES = 10_000


class Suspicion(Enum):
    """What may be done with a request of some content."""

    NONE = 'none'
    SUSPECT = 'suspect'
    QUARANTINED = 'quarantined'


@dataclass(slots=True)
class QuarantineEntry:
    """The searchers that died under one content; `expires_at` is monotonic."""

    fingerprint: Fingerprint
    expires_at: float
    strikes: set[SearcherAddress] = field(default_factory=set)


class Quarantine:
    """Strikes by content, capped, oldest forgotten first."""

    def __init__(self, clock: Clock, max_entries: int = MAX_ENTRIES) -> None:
        self._clock = clock
        self._max_entries = max_entries
        self._by_fingerprint: OrderedDict[Fingerprint, QuarantineEntry] = (
            OrderedDict()
        )
        self._lock = threading.Lock()

    def strike(
        self,
        fingerprint: Fingerprint,
        searchers: set[SearcherAddress],
    ) -> bool:
        """Count searchers that died under a content, here or at a peer.

        Args:
            fingerprint: The hash of the request's content.
            searchers: The searchers that died.

        Returns:
            True if this told anything new.
        """
        expires_at = self._clock.monotonic() + EXPIRY
        with self._lock:
            entry = self._by_fingerprint.get(fingerprint)
            if entry is None:
                entry = QuarantineEntry(fingerprint, expires_at)
                self._by_fingerprint[fingerprint] = entry
            fresh = not searchers <= entry.strikes
            if fresh:
                entry.strikes |= searchers
                entry.expires_at = expires_at
            while len(self._by_fingerprint) > self._max_entries:
                self._by_fingerprint.popitem(last=False)
        return fresh

    def judge(self, fingerprint: Fingerprint) -> Suspicion:
        """Return what may be done with a request of this content."""
        with self._lock:
            entry = self._by_fingerprint.get(fingerprint)
            if entry is None:
                return Suspicion.NONE
            if entry.expires_at < self._clock.monotonic():
                self._by_fingerprint.pop(fingerprint)
                return Suspicion.NONE
            if len(entry.strikes) >= STRIKES_TO_QUARANTINE:
                return Suspicion.QUARANTINED
            return Suspicion.SUSPECT

    def entries(self) -> list[QuarantineEntry]:
        """Return the entries that have not expired."""
        now = self._clock.monotonic()
        with self._lock:
            return [
                entry
                for entry in self._by_fingerprint.values()
                if entry.expires_at >= now
            ]
