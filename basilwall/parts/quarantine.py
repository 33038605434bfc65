"""Contents of requests that crash the searchers which run them.

A strike is a searcher that was lost while it ran a content. After the first
one the content runs on one searcher at a time; after the second death nobody
runs it until the entry expires. Two things speak for a content: an answer by
another replica of the same part, and another content that died on the same
searchers and on more besides.
"""

import threading
from collections import OrderedDict, defaultdict
from collections.abc import Collection, Iterable
from dataclasses import dataclass, field
from enum import Enum

from basilwall.parts.clock import Clock
from basilwall.records.ids import Fingerprint, IncidentId, SearcherAddress
from basilwall.records.strike import Evidence, Strike

#: How long an entry is kept after its last strike, in seconds.
ENTRY_TTL_SECONDS = 300.0
MAX_ENTRIES = 10_000
#: Strikes kept for one content, cleared ones among them.
MAX_STRIKES_PER_ENTRY = 32
#: Strikes on one searcher within this time stand for one death, in seconds.
SAME_CRASH_SECONDS = 3.0
#: A verdict that takes longer will not come, in seconds.
VERDICT_TIMEOUT_SECONDS = 2.0
#: Two distinct searchers that died, or four that only cut the connection.
QUARANTINE_WEIGHT = 4

_WEIGHT_BY_EVIDENCE = {
    Evidence.PENDING: 1,
    Evidence.SPARED: 0,
    Evidence.LOST: 1,
    Evidence.DIED: 2,
    Evidence.DOUBTED: 1,
    Evidence.CLEARED: 0,
}
#: What an answer by another part makes of a strike.
_RELIEVED_BY_EVIDENCE = {
    Evidence.SPARED: Evidence.CLEARED,
    Evidence.DIED: Evidence.DOUBTED,
}


class Suspicion(Enum):
    """What may be done with a request of some content.

    AWAITED means that it will be QUARANTINED if the searchers that it lost
    turn out to have died.
    """

    NONE = 'none'
    SUSPECT = 'suspect'
    AWAITING_VERDICT = 'awaited'
    QUARANTINED = 'quarantined'


@dataclass(frozen=True, slots=True)
class _Counted:
    """A strike and when it was heard of, in monotonic seconds."""

    strike: Strike
    heard_at: float

    @property
    def stands(self) -> bool:
        return self.strike.evidence is not Evidence.CLEARED


@dataclass(slots=True)
class QuarantineEntry:
    """The strikes against one content; `expires_at` is monotonic."""

    fingerprint: Fingerprint
    expires_at: float
    counted: dict[IncidentId, _Counted] = field(default_factory=dict)

    @property
    def strikes(self) -> list[Strike]:
        """The strikes, cleared ones among them."""
        return [one.strike for one in tuple(self.counted.values())]

    def uncleared(self) -> dict[SearcherAddress, _Counted]:
        """Return the strongest strike that stands, for each searcher."""
        by_searcher: dict[SearcherAddress, _Counted] = {}
        for one in self.counted.values():
            searcher = one.strike.searcher
            held = by_searcher.get(searcher)
            stronger = (
                held is None or held.strike.evidence < one.strike.evidence
            )
            if one.stands and stronger:
                by_searcher[searcher] = one
        return by_searcher


class Quarantine:
    """Strikes by content, capped, oldest forgotten first."""

    def __init__(self, clock: Clock, max_entries: int = MAX_ENTRIES) -> None:
        self._clock = clock
        self._max_entries = max_entries
        self._by_fingerprint: OrderedDict[Fingerprint, QuarantineEntry] = (
            OrderedDict()
        )
        self._fingerprints_by_searcher: defaultdict[
            SearcherAddress,
            set[Fingerprint],
        ] = defaultdict(set)
        self._lock = threading.RLock()

    def strike(
        self,
        fingerprint: Fingerprint,
        strikes: Iterable[Strike],
        lifetime: float = ENTRY_TTL_SECONDS,
    ) -> bool:
        """Count searchers that were lost under a content, here or at a peer.

        Args:
            fingerprint: The hash of the request's content.
            strikes: The searchers, with what is known of each loss.
            lifetime: How long to remember, in seconds. A peer passes on what
                is left, so that an entry does not outlive its expiry by
                being told back and forth.

        Returns:
            True if this told anything new.
        """
        now = self._clock.monotonic()
        expires_at = now + min(lifetime, ENTRY_TTL_SECONDS)
        with self._lock:
            self._forget(now)
            entry = self._by_fingerprint.get(fingerprint)
            if entry is None:
                entry = QuarantineEntry(fingerprint, expires_at)
            fresh = [self._count(entry, one, now) for one in strikes]
            if any(fresh):
                entry.expires_at = max(entry.expires_at, expires_at)
                self._by_fingerprint[fingerprint] = entry
                self._by_fingerprint.move_to_end(fingerprint)
                self._cap()
        return any(fresh)

    def record_answer(
        self,
        fingerprint: Fingerprint,
        searchers: Collection[SearcherAddress],
    ) -> bool:
        """Note that a content was answered by one of these replicas.

        Args:
            fingerprint: The hash of the request's content.
            searchers: The replicas of the part that answered.

        Returns:
            True if a strike weighs less by this.
        """
        with self._lock:
            entry = self._by_fingerprint.get(fingerprint)
            if entry is None:
                return False
            return self.strike(
                fingerprint,
                [_relieved(one, searchers) for one in entry.strikes],
                entry.expires_at - self._clock.monotonic(),
            )

    def suspicion_of(self, fingerprint: Fingerprint) -> Suspicion:
        """Return what may be done with a request of this content."""
        with self._lock:
            entry = self._live(fingerprint)
            standing = entry.uncleared() if entry else {}
            if not entry or not standing:
                return Suspicion.NONE
            own = [
                one
                for one in standing.values()
                if not self._is_explained(entry, one)
            ]
            now = self._clock.monotonic()
        if sum(map(_weight, own)) >= QUARANTINE_WEIGHT:
            return Suspicion.QUARANTINED
        expected = sum(_expected_weight(one, now) for one in own)
        if expected >= QUARANTINE_WEIGHT:
            return Suspicion.AWAITING_VERDICT
        return Suspicion.SUSPECT

    def struck_searchers(
        self,
        fingerprint: Fingerprint,
        *,
        include_cleared: bool = False,
    ) -> set[SearcherAddress]:
        """Return the searchers that were lost under a content.

        Args:
            fingerprint: The hash of the request's content.
            include_cleared: Whether strikes that were cleared count too.

        Returns:
            Their addresses.
        """
        with self._lock:
            entry = self._live(fingerprint)
            if entry is None:
                return set()
            if include_cleared:
                return {one.searcher for one in entry.strikes}
            return set(entry.uncleared())

    def recently_died(self) -> set[SearcherAddress]:
        """Return the searchers that died just now under any content."""
        since = self._clock.monotonic() - SAME_CRASH_SECONDS
        return {
            searcher
            for entry in self.entries()
            for searcher, one in entry.uncleared().items()
            if one.strike.evidence >= Evidence.DIED and one.heard_at > since
        }

    def seconds_left(self, fingerprint: Fingerprint) -> float:
        """Return the time until a content's entry expires."""
        entry = self._by_fingerprint.get(fingerprint)
        if entry is None:
            return 0
        return max(entry.expires_at - self._clock.monotonic(), 0)

    def entries(self) -> list[QuarantineEntry]:
        """Return the entries that have not expired, newest last."""
        with self._lock:
            self._forget(self._clock.monotonic())
            return list(self._by_fingerprint.values())

    def _live(self, fingerprint: Fingerprint) -> QuarantineEntry | None:
        entry = self._by_fingerprint.get(fingerprint)
        if entry is None or entry.expires_at > self._clock.monotonic():
            return entry
        self._drop(entry)
        return None

    def _count(self, entry: QuarantineEntry, one: Strike, now: float) -> bool:
        """Count a strike; False if it tells nothing new."""
        held = entry.counted.get(one.incident)
        if held is None and len(entry.counted) >= MAX_STRIKES_PER_ENTRY:
            return False
        if held is not None and held.strike.evidence >= one.evidence:
            return False
        heard_at = held.heard_at if held else now
        entry.counted[one.incident] = _Counted(one, heard_at)
        self._fingerprints_by_searcher[one.searcher].add(entry.fingerprint)
        return True

    def _is_explained(self, entry: QuarantineEntry, one: _Counted) -> bool:
        """Return whether a heavier content died on the searcher as well."""
        searcher = one.strike.searcher
        weight = _total(entry)
        beside_it = self._fingerprints_by_searcher[searcher]
        for fingerprint in tuple(beside_it - {entry.fingerprint}):
            other = self._live(fingerprint)
            beside = other.uncleared().get(searcher) if other else None
            if other is None or beside is None or _total(other) < weight:
                continue
            if abs(beside.heard_at - one.heard_at) <= SAME_CRASH_SECONDS:
                return True
        return False

    def _forget(self, now: float) -> None:
        expired = [
            entry
            for entry in self._by_fingerprint.values()
            if entry.expires_at <= now
        ]
        for entry in expired:
            self._drop(entry)

    def _cap(self) -> None:
        while len(self._by_fingerprint) > self._max_entries:
            self._drop(next(iter(self._by_fingerprint.values())))

    def _drop(self, entry: QuarantineEntry) -> None:
        self._by_fingerprint.pop(entry.fingerprint)
        for strike in entry.strikes:
            searcher = strike.searcher
            fingerprints = self._fingerprints_by_searcher[searcher]
            fingerprints.discard(entry.fingerprint)
            if not fingerprints:
                self._fingerprints_by_searcher.pop(searcher)


def _relieved(one: Strike, answered: Collection[SearcherAddress]) -> Strike:
    """Return a strike as it stands after an answer."""
    evidence = _RELIEVED_BY_EVIDENCE.get(one.evidence, one.evidence)
    if one.searcher in answered:
        evidence = Evidence.CLEARED
    return Strike(one.incident, one.searcher, evidence)


def _weight(one: _Counted) -> int:
    return _WEIGHT_BY_EVIDENCE[one.strike.evidence]


def _total(entry: QuarantineEntry) -> int:
    return sum(map(_weight, entry.uncleared().values()))


def _expected_weight(one: _Counted, now: float) -> int:
    pending = one.strike.evidence is Evidence.PENDING
    if pending and now - one.heard_at < VERDICT_TIMEOUT_SECONDS:
        return _WEIGHT_BY_EVIDENCE[Evidence.DIED]
    return _weight(one)
