"""Crash suspicion and canary result of the content of one query."""

from basilwall.backend.crash_tracker import Content, CrashTracker
from basilwall.backend.pool import AttemptJob
from basilwall.parts.quarantine import Suspicion
from basilwall.query.canary import CanaryResult
from basilwall.records.attempt import Answered, AttemptOutcome
from basilwall.records.catalogue import Part


class ContentStatus:
    """Content of one query with its canary result and crash suspicion."""

    def __init__(
        self,
        crash_tracker: CrashTracker,
        content: Content,
        canary_result: CanaryResult,
    ) -> None:
        self.canary_result = canary_result
        self._crash_tracker = crash_tracker
        self._content = content

    @property
    def is_suspect(self) -> bool:
        """Whether the query may be sent to only one searcher at a time."""
        return (
            self._crash_tracker.suspicion_of(self._content)
            is not Suspicion.NONE
        )

    @property
    def may_run(self) -> bool:
        """Whether the query may be sent at all: it is not quarantined."""
        suspicion = self._crash_tracker.suspicion_of(self._content)
        return suspicion is not Suspicion.QUARANTINED

    def canary_answer(self, part: Part) -> Answered | None:
        """Return the answer that a part gave in the canary phase, if any."""
        return self.canary_result.answer_by_instance.get(part.instance)

    def note_outcome(
        self,
        part: Part,
        job: AttemptJob,
        outcome: AttemptOutcome,
    ) -> None:
        """Report the outcome of an attempt of the query."""
        self._crash_tracker.note_outcome(self._content, part, job, outcome)
