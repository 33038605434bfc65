"""What one query knows of its own content while it runs."""

from basilwall.backend.crash_tracker import Content, CrashTracker
from basilwall.backend.pool import AttemptJob
from basilwall.parts.quarantine import Suspicion
from basilwall.query.canary import CanaryResult
from basilwall.records.attempt import Answered, AttemptOutcome
from basilwall.records.catalogue import Part


class ContentStatus:
    """The content of one query, and what single searchers made of it."""

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
        """True if the query may be sent to one searcher at a time only."""
        return (
            self._crash_tracker.suspicion_of(self._content)
            is not Suspicion.NONE
        )

    @property
    def may_run(self) -> bool:
        """True unless the content was found to crash searchers."""
        judged = self._crash_tracker.suspicion_of(self._content)
        return judged is not Suspicion.QUARANTINED

    def canary_answer(self, part: Part) -> Answered | None:
        """Return the answer that a part has already given, if any."""
        return self.canary_result.answer_by_instance.get(part.instance)

    def note_outcome(
        self,
        part: Part,
        job: AttemptJob,
        outcome: AttemptOutcome,
    ) -> None:
        """Take in how an attempt of the query ended."""
        self._crash_tracker.note_outcome(self._content, part, job, outcome)
