"""Finds out which contents crash searchers, and says what may still run.

A lost connection is a suspicion; whether the searcher died is asked by
connecting to it. Searchers that ran nothing of the content are asked at the
same time: if some of those died too, a zone was cut or a rack went, and the
content is not to blame.
"""

import itertools
import random
import threading
from collections import OrderedDict
from collections.abc import Callable, Collection
from dataclasses import dataclass
from functools import partial

from basilwall.backend.pool import AttemptJob
from basilwall.backend.probe import find_dead
from basilwall.parts.clock import Clock
from basilwall.parts.quarantine import Quarantine, Suspicion
from basilwall.parts.tasks import TaskGroup
from basilwall.platform.state import PlatformState
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

#: How long a searcher is watched for its death, in seconds.
PROBE_WINDOW = 0.15
#: Searchers asked beside the lost one, and how many must have died as well.
BYSTANDERS = 12
DEAD_BYSTANDERS = 2
#: Investigations at once; a loss beyond them stays a loss.
MAX_INVESTIGATIONS = 16
#: Contents remembered as answered, the oldest forgotten first.
MAX_KNOWN_GOOD = 10_000
MILLISECONDS = 1000
LEAST_RETRY_AFTER_MS = 1000
#: With these a content is not sent to anybody.
REFUSED = frozenset((Suspicion.QUARANTINED, Suspicion.AWAITED))

Probe = Callable[[Collection[SearcherAddress], float], set[SearcherAddress]]


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
        state: PlatformState,
        tasks: TaskGroup,
        clock: Clock,
        source: random.Random,
        name: str,
        probe: Probe = find_dead,
    ) -> None:
        self.tell: Callable[[], None] = _tell_nobody
        self._quarantine = quarantine
        self._state = state
        self._tasks = tasks
        self._clock = clock
        self._source = source
        self._incidents = (f'{name}/{number}' for number in itertools.count())
        self._probe = probe
        self._places = threading.BoundedSemaphore(MAX_INVESTIGATIONS)
        self._known_good: OrderedDict[Fingerprint, SnapshotId] = OrderedDict()
        self._long_dead: set[SearcherAddress] = set()
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
        known = self._known_good.get(content.fingerprint) == snapshot
        return known and self.judge(content) is Suspicion.NONE

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
        if self._quarantine.clear(content.fingerprint, part.searchers):
            self._settle()
        with self._judged:
            self._known_good[content.fingerprint] = answer.snapshot
            self._known_good.move_to_end(content.fingerprint)
            if len(self._known_good) > MAX_KNOWN_GOOD:
                self._known_good.popitem(last=False)

    def _suspect(self, content: Content, searcher: SearcherAddress) -> None:
        incident = IncidentId(next(self._incidents))
        strike = partial(Strike, incident, searcher)
        if not self._places.acquire(blocking=False):
            self._note(content, strike(Evidence.LOST))
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
        bystanders = self._bystanders(content)
        dead = self._probe([searcher, *bystanders], PROBE_WINDOW)
        with self._judged:
            together = (dead & bystanders) - self._long_dead
            self._long_dead -= bystanders - dead
            self._long_dead |= together
        if len(together) >= DEAD_BYSTANDERS:
            return Evidence.CLEARED
        return Evidence.DIED if searcher in dead else Evidence.LOST

    def _bystanders(self, content: Content) -> set[SearcherAddress]:
        catalogue = self._state.catalogue_by_service.get(content.service)
        if catalogue is None or not catalogue.snapshots:
            return set()
        others = {
            searcher
            for part in catalogue.snapshots[0].parts
            for searcher in part.searchers
        }
        others -= self.struck(content) | self._quarantine.died()
        chosen = min(len(others), BYSTANDERS)
        return set(self._source.sample(sorted(others), chosen))

    def _note(self, content: Content, strike: Strike) -> None:
        if self._quarantine.strike(content.fingerprint, [strike]):
            self._settle()

    def _settle(self) -> None:
        with self._judged:
            self._judged.notify_all()
        self.tell()


def _tell_nobody() -> None:
    """Stand in until the links to the peers are made."""
