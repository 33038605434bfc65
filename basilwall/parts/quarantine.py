"""Quarantine of request contents that crash searchers.

A strike records that the connection to a searcher was lost while the searcher
ran a request content. After the first strike the content is suspect. After two
crashes of searchers that died, it is not run for a period; each further crash
doubles the period. After it the content is suspect again, until its entry
expires. A strike does not count if another replica of the same part answered
the content, or if another content explains the loss: one with a strike for the
same crash and at least the same total weight.

Contents are identified by their fingerprint.
"""

import threading
from collections.abc import Collection, Iterable, Iterator
from dataclasses import replace
from enum import Enum

from basilwall.parts.clock import Clock
from basilwall.parts.content_index import ContentIndex
from basilwall.parts.content_strikes import (
    SAME_CRASH_SECONDS,
    ContentStrikes,
    DatedStrike,
    is_answer_by_same_part,
)
from basilwall.parts.crash_weights import (
    MAX_REMEMBERED_SECONDS,
    QUARANTINE_WEIGHT,
    CrashWeights,
)
from basilwall.parts.strike_memory import StrikeMemory
from basilwall.records.ids import Fingerprint, SearcherAddress, ServiceName
from basilwall.records.strike import NO_SERVICE, Evidence, Strike

#: Time after its last strike until an entry expires, at least.
ENTRY_TTL_SECONDS = 300.0
MAX_ENTRIES = 10_000
#: How long a content is reported to other VMs after its last strike was
#: cleared.
REPORT_CLEARED_SECONDS = 10.0

#: Evidence after the content was answered by a searcher of another part.
_EVIDENCE_AFTER_ANSWER = {
    Evidence.SPARED: Evidence.CLEARED,
    Evidence.DIED: Evidence.DOUBTED,
}


class Suspicion(Enum):
    """How far a request content is suspected of crashing searchers.

    NONE: no uncleared strikes; the content may run anywhere.
    SUSPECT: a searcher was lost under the content.
    PRESUMED: a searcher died under the content alone, and crashes before that
    may be unknown here; only a request that is under way may go on with it.
    AWAITING_VERDICT: the content becomes QUARANTINED if the searchers with
    pending strikes turn out to have died.
    QUARANTINED: the content is not run.
    """

    NONE = 'none'
    SUSPECT = 'suspect'
    PRESUMED = 'presumed'
    AWAITING_VERDICT = 'awaited'
    QUARANTINED = 'quarantined'


#: Contents of which new requests are refused.
_NOT_RUN = frozenset((Suspicion.PRESUMED, Suspicion.QUARANTINED))


class Quarantine:
    """Strikes by content fingerprint.

    At most `max_entries` contents are kept; the one whose last strike is
    oldest is removed first.
    """

    def __init__(
        self,
        clock: Clock,
        max_entries: int = MAX_ENTRIES,
        moment_seconds: float = 0,
        memory: StrikeMemory | None = None,
    ) -> None:
        """Make a quarantine without any strikes.

        Args:
            clock: The monotonic clock.
            max_entries: How many contents are kept.
            moment_seconds: Crashes under one content within this time count as
                one: an outage takes several searchers at once, and a content
                may run on all of them. 0 if a content runs on one at a time.
            memory: How far back all strikes are known; None if always.
        """
        self.memory = memory or StrikeMemory(clock, is_blank=False)
        self._clock = clock
        self._weights = CrashWeights(moment_seconds)
        self._index = ContentIndex(max_entries)
        self._lock = threading.RLock()

    def __len__(self) -> int:
        """Return the number of contents with strikes."""
        return len(self._index)

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
        expires_at = now + min(ttl_seconds, MAX_REMEMBERED_SECONDS)
        with self._lock:
            self._index.remove_expired(now)
            entry = self._index.get(fingerprint)
            if entry is None:
                entry = ContentStrikes(fingerprint, expires_at, now)
            changes = [
                entry.add(strike, now - max(strike.seconds_ago, 0))
                for strike in strikes
            ]
            if any(changes):
                entry.expires_at = max(
                    entry.expires_at,
                    expires_at,
                    self._weights.remembered_until(entry.crashes()),
                )
                entry.changed_at = now
                self._index.put(entry)
        return any(changes)

    def record_answer(
        self,
        fingerprint: Fingerprint,
        searchers: Collection[SearcherAddress] = (),
        service: ServiceName = NO_SERVICE,
    ) -> bool:
        """Lower the strikes against a content that was answered.

        Args:
            fingerprint: The hash of the request's content.
            searchers: The replicas of the part that answered, if known.
            service: The service that answered, if known.

        Returns:
            True if the evidence of a strike changed.
        """
        with self._lock:
            now = self._clock.monotonic()
            entry = self._index.get(fingerprint)
            if entry is None:
                return False
            return self.strike(
                fingerprint,
                [
                    _after_answer(strike, searchers, service)
                    for strike in entry.strikes_at(now)
                ],
                entry.expires_at - now,
            )

    def suspicion_of(self, fingerprint: Fingerprint) -> Suspicion:
        """Return how far a content is suspected of crashing searchers."""
        with self._lock:
            entry = self.entry_of(fingerprint)
            crashes = entry.crashes() if entry else []
            if not entry or not crashes:
                return Suspicion.NONE
            now = self._clock.monotonic()
            is_light = self._weights.expected(crashes, now) < QUARANTINE_WEIGHT
            if is_light and self.memory.is_complete:
                return Suspicion.SUSPECT
            unexplained = self._unexplained(entry)
        weight = self._weights.total(unexplained)
        is_refused = now < self._weights.refused_until(unexplained, now)
        if weight >= QUARANTINE_WEIGHT and is_refused:
            return Suspicion.QUARANTINED
        expected = self._weights.expected(unexplained, now)
        if expected > weight and expected >= QUARANTINE_WEIGHT:
            return Suspicion.AWAITING_VERDICT
        is_presumed = is_refused and any(map(_is_telling, unexplained))
        if is_presumed and not self.memory.is_complete:
            return Suspicion.PRESUMED
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
            entry = self.entry_of(fingerprint)
            if entry is None:
                return set()
            if include_cleared:
                return {dated.strike.searcher for dated in entry.all_strikes()}
            return entry.struck_searchers()

    def recently_died(self) -> set[SearcherAddress]:
        """Return searchers that died within `SAME_CRASH_SECONDS`."""
        died_after = self._clock.monotonic() - SAME_CRASH_SECONDS
        return {
            crash.strike.searcher
            for entry in self.entries()
            for crash in entry.crashes()
            if crash.strike.evidence >= Evidence.DIED
            and crash.lost_at > died_after
        }

    def seconds_refused(self, fingerprint: Fingerprint) -> float:
        """Return how much longer a content in quarantine is not run."""
        with self._lock:
            entry = self.entry_of(fingerprint)
            unexplained = self._unexplained(entry) if entry else []
        now = self._clock.monotonic()
        return max(self._weights.refused_until(unexplained, now) - now, 0)

    def seconds_left(self, fingerprint: Fingerprint) -> float:
        """Return the time until a content's entry expires, 0 if it has none."""
        entry = self._index.get(fingerprint)
        if entry is None:
            return 0
        return max(entry.expires_at - self._clock.monotonic(), 0)

    def entry_of(self, fingerprint: Fingerprint) -> ContentStrikes | None:
        """Return the strikes against a content, None if there are none."""
        entry = self._index.get(fingerprint)
        is_live = entry and entry.expires_at > self._clock.monotonic()
        return entry if is_live else None

    def entries(self) -> list[ContentStrikes]:
        """Return the entries that have not expired, newest last."""
        with self._lock:
            self._index.remove_expired(self._clock.monotonic())
            return self._index.contents()

    def entries_to_report(self) -> list[ContentStrikes]:
        """Return what other VMs should know, the most important last.

        Those are the contents with enough crashes for a quarantine and, before
        them, the others whose strikes are not cleared or were so lately.
        """
        cleared_after = self._clock.monotonic() - REPORT_CLEARED_SECONDS
        relevant = [
            entry
            for entry in self.entries()
            if entry.struck_searchers() or entry.changed_at > cleared_after
        ]
        return sorted(
            relevant,
            key=lambda entry: (
                self._weights.total(entry.crashes()) >= QUARANTINE_WEIGHT
            ),
        )

    def aged_strikes(self, entry: ContentStrikes) -> list[Strike]:
        """Return the strikes against a content with their present age."""
        with self._lock:
            return entry.strikes_at(self._clock.monotonic())

    def _unexplained(self, entry: ContentStrikes) -> list[DatedStrike]:
        """Return the crashes that no other content explains, by time.

        That would be one with at least the same total weight and a strike for
        the same crash.
        """
        weight = self._weights.total(entry.crashes())
        return [
            crash
            for crash in entry.crashes()
            if not any(
                self._weights.total(others) >= weight
                and any(map(crash.is_same_crash, others))
                for others in _crashes_beside(self._index, entry, crash)
            )
        ]


def count_quarantined(quarantine: Quarantine) -> int:
    """Return how many contents are not run."""
    return sum(
        quarantine.suspicion_of(entry.fingerprint) in _NOT_RUN
        for entry in quarantine.entries()
    )


def _after_answer(
    strike: Strike,
    answered_searchers: Collection[SearcherAddress],
    service: ServiceName,
) -> Strike:
    """Return a strike with its evidence after the content was answered."""
    evidence = _EVIDENCE_AFTER_ANSWER.get(strike.evidence, strike.evidence)
    if is_answer_by_same_part(strike, answered_searchers, service):
        evidence = Evidence.CLEARED
    return replace(strike, evidence=evidence)


def _is_telling(crash: DatedStrike) -> bool:
    """Return whether one crash tells something of the content alone."""
    strike = crash.strike
    return strike.evidence is Evidence.DIED and strike.is_unanswered


def _crashes_beside(
    index: ContentIndex, entry: ContentStrikes, crash: DatedStrike
) -> Iterator[list[DatedStrike]]:
    """Yield the crashes under each other content of the same searcher."""
    for other in index.on_same_searcher(entry, crash.strike.searcher):
        yield other.crashes()
