"""Finds out which contents crash the searchers that run them.

A caller sends a failed request again, to any VM, so a content that crashes
searchers would take one after the other. When an attempt is cut off, its
searcher is asked whether it still accepts connections, and so are others that
ran nothing of the content: where those died too, the content is not to blame.
Two searchers that died under a content put it under quarantine at every VM.
This answers single requests that take down whole services.
"""

import itertools
import logging
import threading
from abc import ABC, abstractmethod
from collections.abc import Callable
from functools import partial

from basilwall.backend.loss_classifier import LossClassifier
from basilwall.parts.fingerprints import fingerprint
from basilwall.parts.quarantine import Quarantine, Suspicion
from basilwall.parts.tasks import TaskGroup
from basilwall.records.forwarding import AttemptResult, Call, LossReason, Lost
from basilwall.records.ids import Fingerprint, IncidentId, ServiceName
from basilwall.records.searcher import Searcher
from basilwall.records.strike import Evidence, Strike

#: Inquiries at once; losses beyond them are too many for one content.
MAX_CLASSIFICATIONS = 8

_log = logging.getLogger(__name__)


class CrashDetector(ABC):
    """Judges contents by what became of the searchers that ran them."""

    @abstractmethod
    def is_quarantined(self, call: Call) -> bool:
        """Return whether a request's content is known to crash searchers."""

    @abstractmethod
    def quarantine_seconds_left(self, call: Call) -> float:
        """Return how long the quarantine of a content lasts, in seconds."""

    @abstractmethod
    def note_outcome(
        self, call: Call, searcher: Searcher, outcome: AttemptResult
    ) -> None:
        """Take in how an attempt ended that was waited for to its end."""


class ProbingCrashDetector(CrashDetector):
    """What this VM knows of contents that crash searchers."""

    def __init__(
        self,
        quarantine: Quarantine,
        bystanders: LossClassifier,
        tasks: TaskGroup,
        name: str,
    ) -> None:
        self.on_change: Callable[[], None] = _ignore_change
        self._quarantine = quarantine
        self._bystanders = bystanders
        self._tasks = tasks
        self._incident_ids = (
            f'{name}/{number}' for number in itertools.count()
        )
        self._classification_slots = threading.BoundedSemaphore(
            MAX_CLASSIFICATIONS
        )

    def is_quarantined(self, call: Call) -> bool:
        """Return whether a request's content is known to crash searchers."""
        judged = self._quarantine.suspicion_of(fingerprint_of(call))
        return judged is Suspicion.QUARANTINED

    def quarantine_seconds_left(self, call: Call) -> float:
        """Return how long the quarantine of a content lasts, in seconds."""
        return self._quarantine.seconds_left(fingerprint_of(call))

    def note_outcome(
        self, call: Call, searcher: Searcher, outcome: AttemptResult
    ) -> None:
        """Take in how an attempt ended that was waited for to its end."""
        is_cut = isinstance(outcome, Lost) and outcome.reason is LossReason.CUT
        if not is_cut or not self._classification_slots.acquire(blocking=False):
            return
        try:
            self._tasks.start(
                partial(self._classify_loss, fingerprint_of(call), searcher)
            )
        except RuntimeError as error:
            self._classification_slots.release()
            _log.info('no inquiry', extra={'error': str(error)})

    def _classify_loss(self, content: Fingerprint, searcher: Searcher) -> None:
        try:
            evidence = self._bystanders.classify(
                searcher.service,
                searcher.address,
                self._quarantine.recently_died(),
                self._quarantine.struck_searchers(content),
            )
        finally:
            self._classification_slots.release()
        _log.warning(
            'searcher lost under a request',
            extra={
                'fingerprint': content,
                'searcher': searcher.searcher_id,
                'evidence': evidence.name.lower(),
            },
        )
        if evidence is Evidence.DIED:
            incident = IncidentId(next(self._incident_ids))
            strike = Strike(incident, searcher.address, evidence)
            self._quarantine.strike(content, [strike])
            self.on_change()


def fingerprint_of(call: Call) -> Fingerprint:
    """Return the same text for every resend of a request."""
    body = b'\n'.join((call.target, call.body))
    return fingerprint(ServiceName(call.host), call.method.decode(), body)


def _ignore_change() -> None:
    """Stand in until the links to the other VMs are made."""
