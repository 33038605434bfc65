"""Crash detection where no request crashes a searcher."""

from collections.abc import Sequence

from basilwall.forwarding.crash_detector import ContentRefusal, CrashDetector
from basilwall.forwarding.transport import Attempt
from basilwall.records.forwarding import AttemptResult, Call
from basilwall.records.ids import ServiceName


class NoCrashDetector(CrashDetector):
    """Detects no crashes: simulated requests crash no searcher."""

    def is_quarantined(self, call: Call) -> bool:
        """Return False."""
        return False

    def is_suspected(self, call: Call) -> bool:
        """Return False."""
        return False

    def least_struck(self, call: Call, services: Sequence[ServiceName]) -> int:
        """Return the first."""
        return 0

    def refusal_of(self, call: Call) -> ContentRefusal | None:
        """Refuse nothing."""

    def note_outcome(
        self,
        call: Call,
        attempt: Attempt,
        outcome: AttemptResult,
        *,
        is_trial: bool = False,
        is_unanswered: bool = False,
    ) -> None:
        """Ignore the outcome of an attempt."""
