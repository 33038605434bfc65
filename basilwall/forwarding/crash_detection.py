"""Detects requests whose content crashes searchers ("queries of death").

Callers retry a failed request at any VM, so without this check one such
request would crash the searchers of a service one after another. When an
attempt loses its connection, the VM probes whether the searcher's process has
ended. If so, it also probes unrelated searchers that did not run the content:
if those are down as well, the outage is not caused by the content; a moment
later it looks again, as an outage may end them one after the other. Once
searchers have died twice while running a content, every VM quarantines it. A
searcher that answers a content speaks for it.
"""

import itertools
import logging
import threading
import zlib
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace
from functools import partial

from basilwall.backend.loss_classifier import LossClassifier, LostSearcher
from basilwall.backend.strike_review import OUTAGE_SECONDS, StrikeReview
from basilwall.forwarding.crash_detector import ContentRefusal, CrashDetector
from basilwall.forwarding.recent_losses import (
    RUN_JITTER_SECONDS,
    RecentLoss,
    RecentLosses,
)
from basilwall.forwarding.transport import Attempt
from basilwall.parts.clock import Clock
from basilwall.parts.content_strikes import ContentStrikes
from basilwall.parts.fingerprints import fingerprint
from basilwall.parts.quarantine import Quarantine, Suspicion
from basilwall.parts.tasks import TaskGroup
from basilwall.records.forwarding import (
    AttemptResult,
    Call,
    LossReason,
    Lost,
    Reply,
    Verdict,
)
from basilwall.records.ids import (
    Fingerprint,
    IncidentId,
    ProcessId,
    SearcherAddress,
    ServiceName,
    Zone,
)
from basilwall.records.searcher import Searcher
from basilwall.records.strike import Evidence, Strike

#: Losses classified at a time; more at once can not be due to one content.
MAX_CLASSIFICATIONS = 8
#: Time after which it is known why a searcher was lost.
UNDECIDED_SECONDS = 1.0

_VERDICT_BY_SUSPICION = {
    Suspicion.PRESUMED: Verdict.PRESUMED,
    Suspicion.QUARANTINED: Verdict.QUARANTINED,
}
#: A request that is under way with such a content goes on at one searcher.
_TRIED_ALONE = frozenset((Suspicion.SUSPECT, Suspicion.PRESUMED))

_log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class _Loss:
    """A searcher that was lost under a request, at a monotonic time.

    It may have run the request for `run_seconds`; less than 0 if it ended
    before the request can have reached it. `is_trial` says whether the request
    was at few searchers only; `follows_loss` and `is_unanswered` are as in
    `Strike`.
    """

    call: Call
    searcher: Searcher
    content: Fingerprint
    lost_at: float
    run_seconds: float
    is_trial: bool
    follows_loss: bool
    is_unanswered: bool

    @property
    def lost_searcher(self) -> LostSearcher:
        """The searcher that was lost."""
        searcher = self.searcher
        return LostSearcher(searcher.service, searcher.address, self.lost_at)


class ProbingCrashDetector(CrashDetector):
    """Probes the searchers that were lost and shares strikes with all VMs."""

    def __init__(
        self,
        quarantine: Quarantine,
        loss_classifier: LossClassifier,
        tasks: TaskGroup,
        name: str,
        clock: Clock,
        round_trip: Callable[[Zone], float],
        check_links: Callable[[], object],
    ) -> None:
        """Make a detector.

        Args:
            quarantine: Keeps the strikes against contents.
            loss_classifier: Probes lost searchers.
            tasks: Runs the probes.
            name: Unique name of this process, for the ids of its strikes.
            clock: Dates losses.
            round_trip: Returns the round trip to searchers of a zone, in
                seconds.
            check_links: Called when unrelated searchers were lost as well.
        """
        self._check_links = check_links
        self.on_change: Callable[[], None] = _ignore_change
        self._quarantine = quarantine
        self._loss_classifier = loss_classifier
        self._tasks = tasks
        self._clock = clock
        self._round_trip = round_trip
        self._incident_ids = (
            f'{name}/{number}' for number in itertools.count()
        )
        self._classification_slots = threading.BoundedSemaphore(
            MAX_CLASSIFICATIONS
        )
        self._recent_losses = RecentLosses()
        self._review = StrikeReview(
            quarantine,
            loss_classifier,
            self._recent_losses.searchers_of,
            tasks.stopping.wait,
        )

    def is_quarantined(self, call: Call) -> bool:
        """Return whether a request's content is known to crash searchers."""
        return self._suspicion_of(call) is Suspicion.QUARANTINED

    def is_suspected(self, call: Call) -> bool:
        """Return whether searchers were lost under a request's content."""
        return self._suspicion_of(call) in _TRIED_ALONE

    def least_struck(self, call: Call, services: Sequence[ServiceName]) -> int:
        """Return which service lost the fewest searchers under a content."""
        entry = self._quarantine.entry_of(fingerprint_of(call))
        strikes = entry.all_strikes() if entry else ()
        struck = Counter(dated.strike.service for dated in strikes)
        fewest = min(struck[service] for service in services)
        equals = [
            index
            for index, service in enumerate(services)
            if struck[service] == fewest
        ]
        return equals[zlib.crc32(fingerprint_of(call).encode()) % len(equals)]

    def refusal_of(self, call: Call) -> ContentRefusal | None:
        """Return why new requests of a content are refused, None if not."""
        if not len(self._quarantine):
            return None
        content = fingerprint_of(call)
        suspicion = self._quarantine.suspicion_of(content)
        verdict = _VERDICT_BY_SUSPICION.get(suspicion)
        if verdict is not None:
            seconds = self._quarantine.seconds_refused(content)
            return ContentRefusal(verdict, seconds)
        entry = self._quarantine.entry_of(content)
        if entry is None or not entry.is_undecided(self._clock.monotonic()):
            return None
        return ContentRefusal(Verdict.UNDECIDED, UNDECIDED_SECONDS)

    def note_outcome(
        self,
        call: Call,
        attempt: Attempt,
        outcome: AttemptResult,
        *,
        is_trial: bool = False,
        is_unanswered: bool = False,
    ) -> None:
        """Record the outcome of an attempt that was not abandoned."""
        if isinstance(outcome, Reply) and outcome.is_success:
            self._note_answer(call, attempt.searcher)
        elif isinstance(outcome, Lost):
            loss = self._make_loss(call, attempt, is_trial=is_trial)
            self._note_loss(
                replace(loss, is_unanswered=is_unanswered), outcome.reason
            )

    def _suspicion_of(self, call: Call) -> Suspicion:
        if not len(self._quarantine):
            return Suspicion.NONE
        return self._quarantine.suspicion_of(fingerprint_of(call))

    def _note_answer(self, call: Call, searcher: Searcher) -> None:
        self._loss_classifier.note_alive(searcher.address)
        if not len(self._quarantine):
            return
        content = fingerprint_of(call)
        service = searcher.service
        if self._quarantine.record_answer(content, service=service):
            suspicion = self._quarantine.suspicion_of(content)
            _log.info(
                'searcher answered a suspected request',
                extra={
                    **_log_fields(call, searcher, content),
                    'suspicion': suspicion.value,
                },
            )

    def _make_loss(
        self, call: Call, attempt: Attempt, *, is_trial: bool
    ) -> _Loss:
        content, now = fingerprint_of(call), self._clock.monotonic()
        searcher, sent_at = attempt.searcher, attempt.sent_at
        round_trip = self._round_trip(searcher.zone)
        run_seconds = now - sent_at - round_trip
        lost_before = self._recent_losses.searchers_of(content)
        return _Loss(
            call,
            searcher,
            content,
            now,
            run_seconds,
            is_trial,
            (is_trial and bool(lost_before - {searcher.address}))
            or self._recent_losses.is_repeated(content, sent_at, run_seconds)
            or _is_repeated_later(
                self._quarantine.entry_of(content), sent_at, run_seconds
            ),
            is_unanswered=False,
        )

    def _note_loss(self, loss: _Loss, reason: LossReason) -> None:
        if reason is not LossReason.CUT:
            _log_unclassified(loss, reason.value)
            return
        self._recent_losses.add(
            RecentLoss(
                loss.content,
                loss.searcher.address,
                loss.lost_at,
                loss.run_seconds,
            )
        )
        if not self._classification_slots.acquire(blocking=False):
            _log_unclassified(loss, 'too many at a time')
            return
        incident = IncidentId(next(self._incident_ids))
        if loss.is_trial:
            self._strike(loss, incident, Evidence.PENDING)
        try:
            self._tasks.start(partial(self._run_classification, loss, incident))
        except RuntimeError as error:
            self._classification_slots.release()
            _log_unclassified(loss, str(error))

    def _run_classification(self, loss: _Loss, incident: IncidentId) -> None:
        try:
            evidence = self._classify(loss)
            if evidence is Evidence.SPARED:
                self._check_links()
        finally:
            self._classification_slots.release()
        _log.warning(
            'searcher lost under a request',
            extra={
                **_log_fields(loss.call, loss.searcher, loss.content),
                'evidence': evidence.name.lower(),
            },
        )
        if evidence is Evidence.DIED:
            strike = self._strike(loss, incident, evidence)
            if self._review.review(loss.content, strike, loss.lost_searcher):
                self.on_change()
        elif loss.is_trial:
            self._strike(loss, incident, Evidence.CLEARED)

    def _classify(self, loss: _Loss) -> Evidence:
        return self._loss_classifier.classify(
            loss.lost_searcher,
            partial(self._crashed_searchers, loss.content),
            (),
        )

    def _crashed_searchers(self, content: Fingerprint) -> set[SearcherAddress]:
        """Return the searchers that this content or others may have ended."""
        return (
            self._quarantine.recently_died()
            | self._quarantine.struck_searchers(content)
            | self._recent_losses.searchers_of(content)
        )

    def _strike(
        self, loss: _Loss, incident: IncidentId, evidence: Evidence
    ) -> Strike:
        searcher = loss.searcher
        strike = Strike(
            incident,
            searcher.address,
            evidence,
            self._clock.monotonic() - loss.lost_at,
            ProcessId(f'{searcher.searcher_id}/{searcher.started_ms}'),
            searcher.service,
            loss.follows_loss,
            loss.is_unanswered,
        )
        self._quarantine.strike(loss.content, [strike])
        self.on_change()
        return strike


def fingerprint_of(call: Call) -> Fingerprint:
    """Return the hash of a request, equal for every retry of it."""
    body = b'\n'.join((call.target, call.body))
    return fingerprint(ServiceName(call.host), call.method.decode(), body)


def _is_repeated_later(
    entry: ContentStrikes | None, sent_at: float, run_seconds: float
) -> bool:
    """Return whether a loss is too late for the outage of an earlier one.

    Args:
        entry: The strikes against the content, also those of other VMs.
        sent_at: When it was sent to the searcher that is lost now, in monotonic
            seconds.
        run_seconds: How long that searcher may have run it.
    """
    if entry is None or run_seconds < -RUN_JITTER_SECONDS:
        return False
    return any(
        crash.strike.evidence is Evidence.DIED
        and crash.lost_at + OUTAGE_SECONDS <= sent_at
        for crash in entry.crashes()
    )


def _log_unclassified(loss: _Loss, reason: str) -> None:
    _log.info(
        'searcher loss not classified',
        extra={
            **_log_fields(loss.call, loss.searcher, loss.content),
            'reason': reason,
        },
    )


def _log_fields(
    call: Call, searcher: Searcher, content: Fingerprint
) -> dict[str, str]:
    return {
        'request': call.request_id.decode('latin-1'),
        'fingerprint': content,
        'searcher': searcher.searcher_id,
        'address': searcher.address,
    }


def _ignore_change() -> None:
    """Do nothing; replaced once the links to the other VMs exist."""
