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

from basilwall.backend.bystanders import Bystanders
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
MAX_INQUIRIES = 16
MILLISECONDS = 1000
LEAST_RETRY_AFTER_MS = 1000
#: With these a content is not sent to anybody.
REFUSED = frozenset((Suspicion.QUARANTINED, Suspicion.AWAITED))

_log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class Content:
    """What is asked of a service, whoever asks it under whatever id."""

    service: ServiceName
    fingerprint: Fingerprint


class Suspects:
    """The contents that this VM saw answered, or saw searchers die under."""

    def __init__(
        self,
        quarantine: Quarantine,
        bystanders: Bystanders,
        tasks: TaskGroup,
        clock: Clock,
        name: str,
    ) -> None:
        self.tell: Callable[[], None] = _tell_nobody
        self._quarantine = quarantine
        self._bystanders = bystanders
        self._tasks = tasks
        self._clock = clock
        self._incidents = (f'{name}/{number}' for number in itertools.count())
        self._places = threading.BoundedSemaphore(MAX_INQUIRIES)
        self._known_good = KnownGood()
        self._judged = threading.Condition()

    def judge(self, content: Content) -> Suspicion:
        """Return what may be done with a request of this content now."""
        return self._quarantine.judge(content.fingerprint)

    def verdict(self, content: Content, deadline: float) -> Suspicion:
        """Return what may be done, once the running inquiries have ended.

        Args:
            content: The content of the request.
            deadline: The longest wait, in monotonic seconds.

        Returns:
            AWAITED only if the deadline came first.
        """
        with self._judged:
            self._judged.wait_for(
                lambda: self.judge(content) is not Suspicion.AWAITED,
                max(deadline - self._clock.monotonic(), 0),
            )
        return self.judge(content)

    def struck(self, content: Content) -> set[SearcherAddress]:
        """Return the searchers that were lost under a content."""
        return self._quarantine.struck(content.fingerprint)

    def is_known_good(self, content: Content, snapshot: SnapshotId) -> bool:
        """Return whether a content was answered here from a snapshot."""
        answered_from = self._known_good.snapshot_of(content.fingerprint)
        if answered_from != snapshot:
            return False
        return self.judge(content) is Suspicion.NONE

    def retry_after_ms(self, content: Content) -> int:
        """Return when a request of a quarantined content may come back."""
        if self.judge(content) is not Suspicion.QUARANTINED:
            return LEAST_RETRY_AFTER_MS
        left = self._quarantine.seconds_left(content.fingerprint)
        return max(int(left * MILLISECONDS), LEAST_RETRY_AFTER_MS)

    def saw(
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
            self._clear(content, part, outcome)
        elif outcome.tag is OutcomeTag.LOST and not job.cancelled:
            self._suspect(content, outcome.searcher)

    def _clear(self, content: Content, part: Part, answer: Answered) -> None:
        self._bystanders.note_alive(answer.searcher)
        if self._quarantine.clear(content.fingerprint, part.searchers):
            self._settle()
        self._known_good.note(content.fingerprint, answer.snapshot)

    def _suspect(self, content: Content, searcher: SearcherAddress) -> None:
        incident = IncidentId(next(self._incidents))
        strike = partial(Strike, incident, searcher)
        if not self._places.acquire(blocking=False):
            self._note(content, strike(Evidence.SPARED))
            return
        self._note(content, strike(Evidence.PENDING))
        try:
            self._tasks.start(partial(self._inquire, content, strike))
        except RuntimeError:
            self._places.release()

    def _inquire(
        self,
        content: Content,
        strike: Callable[[Evidence], Strike],
    ) -> None:
        try:
            searcher = strike(Evidence.PENDING).searcher
            self._note(content, strike(self._evidence(content, searcher)))
        finally:
            self._places.release()

    def _evidence(
        self,
        content: Content,
        searcher: SearcherAddress,
    ) -> Evidence:
        mark = content.fingerprint
        concerned = self._quarantine.died_lately()
        also_lost = self._quarantine.struck(mark)
        if self._known_good.snapshot_of(mark) is None:
            # It may have taken them itself; what was answered did not.
            concerned |= self._quarantine.struck(mark, with_cleared=True)
        return self._bystanders.inquire(
            content.service,
            searcher,
            concerned,
            also_lost,
        )

    def _note(self, content: Content, strike: Strike) -> None:
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
            self._settle()

    def _settle(self) -> None:
        with self._judged:
            self._judged.notify_all()
        self.tell()


def _tell_nobody() -> None:
    """Stand in until the links to the peers are made."""
