"""Quarantine of request contents that crash searchers.

A strike records that the connection to a searcher was lost while the searcher
ran a request content. After the first strike the content runs on one searcher
at a time. After two searchers have died, it is not run until its entry
expires. A strike does not count if another replica of the same part answered
the content, or if another content explains the loss: one with a strike on the
same searcher at the same time and at least the same total weight.

Contents are identified by their fingerprint.
"""

import threading
from collections import OrderedDict, defaultdict
from collections.abc import Collection, Iterable
from dataclasses import dataclass, field
from enum import Enum

from basilwall.parts.clock import Clock
from basilwall.records.ids import Fingerprint, IncidentId, SearcherAddress
from basilwall.records.strike import Evidence, Strike

#: Time after its last strike until an entry expires.
ENTRY_TTL_SECONDS = 300.0
MAX_ENTRIES = 10_000
#: Strikes kept for one content, cleared ones included.
MAX_STRIKES_PER_ENTRY = 32
#: Strikes on one searcher within this time belong to the same crash.
SAME_CRASH_SECONDS = 3.0
#: Time after which no verdict on a pending strike is expected any more.
VERDICT_TIMEOUT_SECONDS = 2.0
#: Total weight that quarantines a content: two searchers that died, or four
#: that only lost the connection.
QUARANTINE_WEIGHT = 4

_WEIGHT_BY_EVIDENCE = {
    Evidence.PENDING: 1,
    Evidence.SPARED: 0,
    Evidence.LOST: 1,
    Evidence.DIED: 2,
    Evidence.DOUBTED: 1,
    Evidence.CLEARED: 0,
}
#: Evidence after the content was answered by a searcher of another part.
_EVIDENCE_AFTER_ANSWER = {
    Evidence.SPARED: Evidence.CLEARED,
    Evidence.DIED: Evidence.DOUBTED,
}


class Suspicion(Enum):
    """How far a request content is suspected of crashing searchers.

    NONE: no uncleared strikes; the content may run anywhere.
    SUSPECT: the content runs on one searcher at a time.
    AWAITING_VERDICT: the content becomes QUARANTINED if the searchers with
    pending strikes turn out to have died.
    QUARANTINED: the content is not run.
    """

    NONE = 'none'
    SUSPECT = 'suspect'
    AWAITING_VERDICT = 'awaited'
    QUARANTINED = 'quarantined'


@dataclass(frozen=True, slots=True)
class _ReceivedStrike:
    """A strike and when this VM learned of it, in monotonic seconds."""

    strike: Strike
    received_at: float

    @property
    def is_uncleared(self) -> bool:
        return self.strike.evidence is not Evidence.CLEARED


@dataclass(slots=True)
class QuarantineEntry:
    """The strikes against one content.

    `expires_at` is in monotonic seconds.
    """

    fingerprint: Fingerprint
    expires_at: float
    strike_by_incident: dict[IncidentId, _ReceivedStrike] = field(
        default_factory=dict
    )

    @property
    def strikes(self) -> list[Strike]:
        """All strikes, cleared ones included."""
        return [
            received.strike
            for received in tuple(self.strike_by_incident.values())
        ]

    def uncleared(self) -> dict[SearcherAddress, _ReceivedStrike]:
        """Return the strongest uncleared strike of each searcher."""
        by_searcher: dict[SearcherAddress, _ReceivedStrike] = {}
        for received in self.strike_by_incident.values():
            searcher = received.strike.searcher
            strongest = by_searcher.get(searcher)
            is_stronger = (
                strongest is None
                or strongest.strike.evidence < received.strike.evidence
            )
            if received.is_uncleared and is_stronger:
                by_searcher[searcher] = received
        return by_searcher


class Quarantine:
    """Strikes by content fingerprint.

    At most `max_entries` contents are kept; the one whose last strike is
    oldest is removed first.
    """

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
        ttl_seconds: float = ENTRY_TTL_SECONDS,
    ) -> bool:
        """Add strikes against a content, seen by this VM or by a peer.

        Args:
            fingerprint: The hash of the request's content.
            strikes: The lost searchers, with the evidence for each.
            ttl_seconds: Time until the entry expires. A peer sends the time
                that remains, so that exchanging an entry does not extend it.

        Returns:
            True if a strike was new or its evidence changed.
        """
        now = self._clock.monotonic()
        expires_at = now + min(ttl_seconds, ENTRY_TTL_SECONDS)
        with self._lock:
            self._remove_expired(now)
            entry = self._by_fingerprint.get(fingerprint)
            if entry is None:
                entry = QuarantineEntry(fingerprint, expires_at)
            changes = [
                self._add_strike(entry, strike, now) for strike in strikes
            ]
            if any(changes):
                entry.expires_at = max(entry.expires_at, expires_at)
                self._by_fingerprint[fingerprint] = entry
                self._by_fingerprint.move_to_end(fingerprint)
                self._enforce_limit()
        return any(changes)

    def record_answer(
        self,
        fingerprint: Fingerprint,
        searchers: Collection[SearcherAddress],
    ) -> bool:
        """Lower the strikes against a content that was answered.

        Args:
            fingerprint: The hash of the request's content.
            searchers: The replicas of the part that answered.

        Returns:
            True if the evidence of a strike changed.
        """
        with self._lock:
            entry = self._by_fingerprint.get(fingerprint)
            if entry is None:
                return False
            return self.strike(
                fingerprint,
                [_after_answer(strike, searchers) for strike in entry.strikes],
                entry.expires_at - self._clock.monotonic(),
            )

    def suspicion_of(self, fingerprint: Fingerprint) -> Suspicion:
        """Return how far a content is suspected of crashing searchers."""
        with self._lock:
            entry = self._live_entry(fingerprint)
            uncleared_strikes = entry.uncleared() if entry else {}
            if not entry or not uncleared_strikes:
                return Suspicion.NONE
            unexplained = [
                received
                for received in uncleared_strikes.values()
                if not self._has_other_cause(entry, received)
            ]
            now = self._clock.monotonic()
        if sum(map(_weight, unexplained)) >= QUARANTINE_WEIGHT:
            return Suspicion.QUARANTINED
        expected_weight = sum(
            _expected_weight(received, now) for received in unexplained
        )
        if expected_weight >= QUARANTINE_WEIGHT:
            return Suspicion.AWAITING_VERDICT
        return Suspicion.SUSPECT

    def struck_searchers(
        self,
        fingerprint: Fingerprint,
        *,
        include_cleared: bool = False,
    ) -> set[SearcherAddress]:
        """Return the searchers with a strike against a content.

        Args:
            fingerprint: The hash of the request's content.
            include_cleared: Whether cleared strikes count too.

        Returns:
            The addresses of the searchers.
        """
        with self._lock:
            entry = self._live_entry(fingerprint)
            if entry is None:
                return set()
            if include_cleared:
                return {strike.searcher for strike in entry.strikes}
            return set(entry.uncleared())

    def recently_died(self) -> set[SearcherAddress]:
        """Return searchers that died within `SAME_CRASH_SECONDS`."""
        died_after = self._clock.monotonic() - SAME_CRASH_SECONDS
        return {
            searcher
            for entry in self.entries()
            for searcher, received in entry.uncleared().items()
            if received.strike.evidence >= Evidence.DIED
            and received.received_at > died_after
        }

    def seconds_left(self, fingerprint: Fingerprint) -> float:
        """Return the time until a content's entry expires, 0 if it has none."""
        entry = self._by_fingerprint.get(fingerprint)
        if entry is None:
            return 0
        return max(entry.expires_at - self._clock.monotonic(), 0)

    def entries(self) -> list[QuarantineEntry]:
        """Return the entries that have not expired, newest last."""
        with self._lock:
            self._remove_expired(self._clock.monotonic())
            return list(self._by_fingerprint.values())

    def _live_entry(self, fingerprint: Fingerprint) -> QuarantineEntry | None:
        entry = self._by_fingerprint.get(fingerprint)
        if entry is None or entry.expires_at > self._clock.monotonic():
            return entry
        self._remove(entry)
        return None

    def _add_strike(
        self,
        entry: QuarantineEntry,
        strike: Strike,
        now: float,
    ) -> bool:
        """Add a strike; return False if it changes nothing."""
        known = entry.strike_by_incident.get(strike.incident)
        if (
            known is None
            and len(entry.strike_by_incident) >= MAX_STRIKES_PER_ENTRY
        ):
            return False
        if known is not None and known.strike.evidence >= strike.evidence:
            return False
        received_at = known.received_at if known else now
        entry.strike_by_incident[strike.incident] = _ReceivedStrike(
            strike, received_at
        )
        self._fingerprints_by_searcher[strike.searcher].add(entry.fingerprint)
        return True

    def _has_other_cause(
        self, entry: QuarantineEntry, received: _ReceivedStrike
    ) -> bool:
        """Return whether another content explains the loss of the searcher.

        That is a content with at least the same total weight and a strike on
        the same searcher at the same time.
        """
        searcher = received.strike.searcher
        weight = _total_weight(entry)
        on_same_searcher = self._fingerprints_by_searcher[searcher]
        for fingerprint in tuple(on_same_searcher - {entry.fingerprint}):
            other_entry = self._live_entry(fingerprint)
            other_strike = (
                other_entry.uncleared().get(searcher) if other_entry else None
            )
            if (
                other_entry is None
                or other_strike is None
                or _total_weight(other_entry) < weight
            ):
                continue
            if (
                abs(other_strike.received_at - received.received_at)
                <= SAME_CRASH_SECONDS
            ):
                return True
        return False

    def _remove_expired(self, now: float) -> None:
        expired = [
            entry
            for entry in self._by_fingerprint.values()
            if entry.expires_at <= now
        ]
        for entry in expired:
            self._remove(entry)

    def _enforce_limit(self) -> None:
        while len(self._by_fingerprint) > self._max_entries:
            self._remove(next(iter(self._by_fingerprint.values())))

    def _remove(self, entry: QuarantineEntry) -> None:
        self._by_fingerprint.pop(entry.fingerprint)
        for strike in entry.strikes:
            searcher = strike.searcher
            fingerprints = self._fingerprints_by_searcher[searcher]
            fingerprints.discard(entry.fingerprint)
            if not fingerprints:
                self._fingerprints_by_searcher.pop(searcher)


def count_quarantined(quarantine: Quarantine) -> int:
    """Return how many contents are not run."""
    return sum(
        quarantine.suspicion_of(entry.fingerprint) is Suspicion.QUARANTINED
        for entry in quarantine.entries()
    )


def _after_answer(
    strike: Strike,
    answered_searchers: Collection[SearcherAddress],
) -> Strike:
    """Return a strike with its evidence after the content was answered."""
    evidence = _EVIDENCE_AFTER_ANSWER.get(strike.evidence, strike.evidence)
    if strike.searcher in answered_searchers:
        evidence = Evidence.CLEARED
    return Strike(strike.incident, strike.searcher, evidence)


def _weight(received: _ReceivedStrike) -> int:
    return _WEIGHT_BY_EVIDENCE[received.strike.evidence]


def _total_weight(entry: QuarantineEntry) -> int:
    return sum(map(_weight, entry.uncleared().values()))


def _expected_weight(received: _ReceivedStrike, now: float) -> int:
    is_pending = received.strike.evidence is Evidence.PENDING
    if is_pending and now - received.received_at < VERDICT_TIMEOUT_SECONDS:
        return _WEIGHT_BY_EVIDENCE[Evidence.DIED]
    return _weight(received)
