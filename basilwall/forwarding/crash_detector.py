"""The interface of what knows which request contents crash searchers."""

from abc import ABC, abstractmethod
from collections.abc import Sequence
from dataclasses import dataclass

from basilwall.forwarding.transport import Attempt
from basilwall.records.forwarding import AttemptResult, Call, Verdict
from basilwall.records.ids import ServiceName


@dataclass(frozen=True, slots=True)
class ContentRefusal:
    """Why new requests of a content are refused, and for how many seconds."""

    verdict: Verdict
    seconds: float


class CrashDetector(ABC):
    """Decides whether a request's content crashes searchers."""

    @abstractmethod
    def is_quarantined(self, call: Call) -> bool:
        """Return whether a request's content is known to crash searchers."""

    @abstractmethod
    def is_suspected(self, call: Call) -> bool:
        """Return whether searchers were lost under a request's content."""

    @abstractmethod
    def least_struck(self, call: Call, services: Sequence[ServiceName]) -> int:
        """Return which service lost the fewest searchers under a content.

        Args:
            call: A request with the content.
            services: The services to choose from.

        Returns:
            An index of `services`; for one content the same on all VMs.
        """

    @abstractmethod
    def refusal_of(self, call: Call) -> ContentRefusal | None:
        """Return why new requests of a content are refused, None if not."""

    @abstractmethod
    def note_outcome(
        self,
        call: Call,
        attempt: Attempt,
        outcome: AttemptResult,
        *,
        is_trial: bool = False,
        is_unanswered: bool = False,
    ) -> None:
        """Record the outcome of an attempt that was not abandoned.

        Args:
            call: The request.
            attempt: The attempt.
            outcome: How it ended.
            is_trial: Whether the request was at few searchers only, as none
                had answered it yet.
            is_unanswered: Whether no searcher had answered the request yet.
        """
