"""The interface of what knows which request contents crash searchers."""

from abc import ABC, abstractmethod
from collections.abc import Sequence

from basilwall.forwarding.transport import Attempt
from basilwall.records.forwarding import AttemptResult, Call
from basilwall.records.ids import ServiceName


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
    def seconds_refused(self, call: Call) -> float:
        """Return for how long a request's content is refused, in seconds.

        Returns:
            How long it stays in quarantine. A short time if a searcher was
            lost under it and nobody knows yet why. 0 if it may run.
        """

    @abstractmethod
    def note_outcome(
        self,
        call: Call,
        attempt: Attempt,
        outcome: AttemptResult,
        *,
        is_trial: bool = False,
    ) -> None:
        """Record the outcome of an attempt that was not abandoned.

        Args:
            call: The request.
            attempt: The attempt.
            outcome: How it ended.
            is_trial: Whether the request was at few searchers only, as none
                had answered it yet.
        """
