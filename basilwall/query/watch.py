"""What one query knows of its own content while it runs."""

from basilwall.backend.pool import AttemptJob
from basilwall.backend.suspects import Content, Suspects
from basilwall.parts.quarantine import Suspicion
from basilwall.query.canary import Tried
from basilwall.records.attempt import Answered, AttemptOutcome
from basilwall.records.catalogue import Part


class ContentWatch:
    """The content of one query, and what single searchers made of it."""

    def __init__(
        self,
        suspects: Suspects,
        content: Content,
        tried: Tried,
    ) -> None:
        self.tried = tried
        self._suspects = suspects
        self._content = content

    @property
    def is_suspect(self) -> bool:
        """True if the query may be sent to one searcher at a time only."""
        return self._suspects.judge(self._content) is not Suspicion.NONE

    @property
    def may_run(self) -> bool:
        """True unless the content was found to crash searchers."""
        judged = self._suspects.judge(self._content)
        return judged is not Suspicion.QUARANTINED

    def answer_of(self, part: Part) -> Answered | None:
        """Return the answer that a part has already given, if any."""
        return self.tried.answer_by_instance.get(part.instance)

    def saw(
        self,
        part: Part,
        job: AttemptJob,
        outcome: AttemptOutcome,
    ) -> None:
        """Take in how an attempt of the query ended."""
        self._suspects.saw(self._content, part, job, outcome)
