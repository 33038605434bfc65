"""Tracks which request content crashes searchers and what may still run.

A connection lost during an attempt makes the content suspect. The lost
searcher is then probed by connecting to it, together with searchers that did
not run the content. If some of those died as well, the cause is the outage of
a zone or a rack and not the content.
"""

import itertools
import logging
import threading
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from basilwall.backend.loss_classifier import LossClassifier, LostSearcher
from basilwall.backend.pool import AttemptJob
from basilwall.backend.strike_review import StrikeReview
from basilwall.parts.clock import Clock
from basilwall.parts.known_good import KnownGood
from basilwall.parts.quarantine import Quarantine, Suspicion
from basilwall.parts.tasks import TaskGroup
from basilwall.records.attempt import Answered, AttemptOutcome, OutcomeTag
from basilwall.records.catalogue import Part
from basilwall.records.ids import (
    Fingerprint,
    IncidentId,
    SearcherAddress,
    ServiceName,
    SnapshotId,
)
from basilwall.records.strike import Evidence, Strike

#: Losses classified at once. More losses than this at one time are too many to
#: be caused by one content, so further ones are recorded as SPARED.
MAX_CLASSIFICATIONS = 16
MS_PER_SECOND = 1000
MIN_RETRY_AFTER_MS = 1000
#: Content with one of these suspicions is not sent to any searcher.
REFUSED_SUSPICIONS = frozenset(
    (Suspicion.QUARANTINED, Suspicion.AWAITING_VERDICT)
)

_log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class Content:
    """Content of a request, the same for each caller and request id."""

    service: ServiceName
    fingerprint: Fingerprint


class CrashTracker:
    """Records which contents were answered or crashed searchers on this VM.

    `on_change` is called whenever the quarantine has changed.
    """

    def __init__(
        self,
        quarantine: Quarantine,
        loss_classifier: LossClassifier,
        tasks: TaskGroup,
        clock: Clock,
        vm_name: str,
    ) -> None:
        self.on_change: Callable[[], None] = _ignore_change
        self._quarantine = quarantine
        self._loss_classifier = loss_classifier
        self._tasks = tasks
        self._clock = clock
        self._incident_ids = (
            f'{vm_name}/{number}' for number in itertools.count()
        )
        self._classification_slots = threading.BoundedSemaphore(
            MAX_CLASSIFICATIONS
        )
        self._review = StrikeReview(
            quarantine, loss_classifier, _no_searchers, tasks.stopping.wait
        )
        self._known_good = KnownGood()
        self._changed = threading.Condition()

    def suspicion_of(self, content: Content) -> Suspicion:
        """Return the current suspicion of this content."""
        return self._quarantine.suspicion_of(content.fingerprint)

    def wait_for_suspicion(
        self, content: Content, deadline: float
    ) -> Suspicion:
        """Return the suspicion once running classifications have ended.

        Args:
            content: The content of the request.
            deadline: The end of the wait, in monotonic seconds.

        Returns:
            The suspicion; AWAITING_VERDICT only if the deadline came first.
        """
        with self._changed:
            self._changed.wait_for(
                lambda: (
                    self.suspicion_of(content) is not Suspicion.AWAITING_VERDICT
                ),
                max(deadline - self._clock.monotonic(), 0),
            )
        return self.suspicion_of(content)

    def struck_searchers(self, content: Content) -> set[SearcherAddress]:
        """Return the searchers with a strike under a content."""
        return self._quarantine.struck_searchers(content.fingerprint)

    def is_known_good(self, content: Content, snapshot: SnapshotId) -> bool:
        """Return whether this VM saw a content answered from a snapshot."""
        answered_from = self._known_good.snapshot_of(content.fingerprint)
        if answered_from != snapshot:
            return False
        return self.suspicion_of(content) is Suspicion.NONE

    def retry_after_ms(self, content: Content) -> int:
        """Return the retry-after for a refused content, in milliseconds."""
        if self.suspicion_of(content) is not Suspicion.QUARANTINED:
            return MIN_RETRY_AFTER_MS
        remaining = self._quarantine.seconds_refused(content.fingerprint)
        return max(int(remaining * MS_PER_SECOND), MIN_RETRY_AFTER_MS)

    def note_outcome(
        self,
        content: Content,
        part: Part,
        job: AttemptJob,
        outcome: AttemptOutcome,
    ) -> None:
        """Record the outcome of an attempt.

        Args:
            content: The content of the request.
            part: The part that the attempt was sent to.
            job: The attempt; the loss of a cancelled one is no evidence.
            outcome: The outcome of the attempt.
        """
        if isinstance(outcome, Answered):
            self._note_answer(content, part, outcome)
        elif outcome.tag is OutcomeTag.LOST and not job.is_cancelled:
            self._note_loss(content, outcome.searcher)

    def _note_answer(
        self, content: Content, part: Part, answer: Answered
    ) -> None:
        self._loss_classifier.note_alive(answer.searcher)
        if self._quarantine.record_answer(content.fingerprint, part.searchers):
            self._notify_change()
        self._known_good.record(content.fingerprint, answer.snapshot)

    def _note_loss(self, content: Content, searcher: SearcherAddress) -> None:
        incident = IncidentId(next(self._incident_ids))
        make_strike = partial(Strike, incident, searcher)
        lost = LostSearcher(content.service, searcher, self._clock.monotonic())
        if not self._classification_slots.acquire(blocking=False):
            self._add_strike(content, make_strike(Evidence.SPARED))
            return
        self._add_strike(content, make_strike(Evidence.PENDING))
        try:
            self._tasks.start(
                partial(self._run_classification, content, lost, make_strike)
            )
        except RuntimeError:
            self._classification_slots.release()

    def _run_classification(
        self,
        content: Content,
        lost: LostSearcher,
        make_strike: Callable[[Evidence], Strike],
    ) -> None:
        try:
            evidence = self._classify(content, lost)
        finally:
            self._classification_slots.release()
        strike = make_strike(evidence)
        self._add_strike(content, strike)
        if evidence is Evidence.DIED and self._review.review(
            content.fingerprint, strike, lost
        ):
            self._notify_change()

    def _classify(self, content: Content, lost: LostSearcher) -> Evidence:
        return self._loss_classifier.classify(
            lost,
            partial(self._crashed_searchers, content),
            self._quarantine.struck_searchers(content.fingerprint),
        )

    def _crashed_searchers(self, content: Content) -> set[SearcherAddress]:
        """Return the searchers that contents may have crashed."""
        crashed = self._quarantine.recently_died()
        if self._known_good.snapshot_of(content.fingerprint) is None:
            # Content that was never answered may itself have crashed the
            # searchers whose strikes were cleared.
            crashed |= self._quarantine.struck_searchers(
                content.fingerprint, include_cleared=True
            )
        return crashed

    def _add_strike(self, content: Content, strike: Strike) -> None:
        _log.warning(
            'searcher lost',
            extra={
                'service': content.service,
                'fingerprint': content.fingerprint,
                'searcher': strike.searcher,
                'evidence': strike.evidence.name.lower(),
            },
        )
        if self._quarantine.strike(content.fingerprint, [strike]):
            self._notify_change()

    def _notify_change(self) -> None:
        with self._changed:
            self._changed.notify_all()
        self.on_change()


def _no_searchers(_: Fingerprint) -> set[SearcherAddress]:
    """Return none: pending strikes name all searchers that were lost."""
    return set()


def _ignore_change() -> None:
    """Default of `on_change` until the links to other VMs exist."""
