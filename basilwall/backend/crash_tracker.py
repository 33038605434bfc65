"""Finds out which contents crash searchers, and says what may still run.

A lost connection is a suspicion; whether the searcher died is asked by
connecting to it. Searchers that ran nothing of the content are asked at the
same time: if some of those died too, a zone was cut or a rack went, and the
content is not to blame.
"""

import itertools
import logging
import threading
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from basilwall.backend.loss_classifier import LossClassifier
from basilwall.backend.pool import AttemptJob
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

#: Inquiries at once; losses beyond them are too many for one content.
MAX_CLASSIFICATIONS = 16
MS_PER_SECOND = 1000
MIN_RETRY_AFTER_MS = 1000
#: With these a content is not sent to anybody.
REFUSED_SUSPICIONS = frozenset(
    (Suspicion.QUARANTINED, Suspicion.AWAITING_VERDICT)
)

_log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class Content:
    """What is asked of a service, whoever asks it under whatever id."""

    service: ServiceName
    fingerprint: Fingerprint


class CrashTracker:
    """The contents that this VM saw answered, or saw searchers die under."""

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
        self._known_good = KnownGood()
        self._changed = threading.Condition()

    def suspicion_of(self, content: Content) -> Suspicion:
        """Return what may be done with a request of this content now."""
        return self._quarantine.suspicion_of(content.fingerprint)

    def wait_for_suspicion(
        self, content: Content, deadline: float
    ) -> Suspicion:
        """Return what may be done, once the running inquiries have ended.

        Args:
            content: The content of the request.
            deadline: The longest wait, in monotonic seconds.

        Returns:
            AWAITED only if the deadline came first.
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
        """Return the searchers that were lost under a content."""
        return self._quarantine.struck_searchers(content.fingerprint)

    def is_known_good(self, content: Content, snapshot: SnapshotId) -> bool:
        """Return whether a content was answered here from a snapshot."""
        answered_from = self._known_good.snapshot_of(content.fingerprint)
        if answered_from != snapshot:
            return False
        return self.suspicion_of(content) is Suspicion.NONE

    def retry_after_ms(self, content: Content) -> int:
        """Return when a request of a quarantined content may come back."""
        if self.suspicion_of(content) is not Suspicion.QUARANTINED:
            return MIN_RETRY_AFTER_MS
        left = self._quarantine.seconds_left(content.fingerprint)
        return max(int(left * MS_PER_SECOND), MIN_RETRY_AFTER_MS)

    def note_outcome(
        self,
        content: Content,
        part: Part,
        job: AttemptJob,
        outcome: AttemptOutcome,
    ) -> None:
        """Take in how an attempt ended.

        Args:
            content: What was asked.
            part: The part that was asked.
            job: The attempt; if we cancelled it, its loss says nothing.
            outcome: How it ended.
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
        strike = partial(Strike, incident, searcher)
        if not self._classification_slots.acquire(blocking=False):
            self._add_strike(content, strike(Evidence.SPARED))
            return
        self._add_strike(content, strike(Evidence.PENDING))
        try:
            self._tasks.start(
                partial(self._run_classification, content, strike)
            )
        except RuntimeError:
            self._classification_slots.release()

    def _run_classification(
        self,
        content: Content,
        strike: Callable[[Evidence], Strike],
    ) -> None:
        try:
            searcher = strike(Evidence.PENDING).searcher
            self._add_strike(content, strike(self._classify(content, searcher)))
        finally:
            self._classification_slots.release()

    def _classify(
        self,
        content: Content,
        searcher: SearcherAddress,
    ) -> Evidence:
        mark = content.fingerprint
        concerned = self._quarantine.recently_died()
        also_lost = self._quarantine.struck_searchers(mark)
        if self._known_good.snapshot_of(mark) is None:
            # It may have taken them itself; what was answered did not.
            concerned |= self._quarantine.struck_searchers(
                mark, include_cleared=True
            )
        return self._loss_classifier.classify(
            content.service,
            searcher,
            concerned,
            also_lost,
        )

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


def _ignore_change() -> None:
    """Stand in until the links to the peers are made."""
