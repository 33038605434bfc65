"""Detects requests whose content crashes searchers ("queries of death").

Callers retry a failed request at any VM, so without this check one such
request would crash the searchers of a service one after another. When an
attempt loses its connection, the VM probes whether its searcher still accepts
connections, and also probes unrelated searchers that did not run the content:
if those are down as well, the outage is not caused by the content. Once two
searchers have died while running a content, every VM quarantines it.
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

#: Losses classified at a time; more at once can not be due to one content.
MAX_CLASSIFICATIONS = 8

_log = logging.getLogger(__name__)


class CrashDetector(ABC):
    """Decides whether a request's content crashes searchers."""

    @abstractmethod
    def is_quarantined(self, call: Call) -> bool:
        """Return whether a request's content is known to crash searchers."""

    @abstractmethod
    def quarantine_seconds_left(self, call: Call) -> float:
        """Return how long the content stays in quarantine, in seconds."""

    @abstractmethod
    def note_outcome(
        self, call: Call, searcher: Searcher, outcome: AttemptResult
    ) -> None:
        """Record the outcome of an attempt that was not abandoned."""


class ProbingCrashDetector(CrashDetector):
    """Probes the searchers that were lost and shares strikes with all VMs."""

    def __init__(
        self,
        quarantine: Quarantine,
        loss_classifier: LossClassifier,
        tasks: TaskGroup,
        name: str,
        links_work: Callable[[], bool],
    ) -> None:
        """Make a detector.

        Args:
            quarantine: Keeps the strikes against contents.
            loss_classifier: Probes lost searchers.
            tasks: Runs the probes.
            name: Unique name of this process, for the ids of its strikes.
            links_work: Probes whether this VM reaches any searcher. If not, a
                lost searcher says nothing of the request.
        """
        self._links_work = links_work
        self.on_change: Callable[[], None] = _ignore_change
        self._quarantine = quarantine
        self._loss_classifier = loss_classifier
        self._tasks = tasks
        self._incident_ids = (
            f'{name}/{number}' for number in itertools.count()
        )
        self._classification_slots = threading.BoundedSemaphore(
            MAX_CLASSIFICATIONS
        )

    def is_quarantined(self, call: Call) -> bool:
        """Return whether a request's content is known to crash searchers."""
        suspicion = self._quarantine.suspicion_of(fingerprint_of(call))
        return suspicion is Suspicion.QUARANTINED

    def quarantine_seconds_left(self, call: Call) -> float:
        """Return how long the content stays in quarantine, in seconds."""
        return self._quarantine.seconds_left(fingerprint_of(call))

    def note_outcome(
        self, call: Call, searcher: Searcher, outcome: AttemptResult
    ) -> None:
        """Record the outcome of an attempt that was not abandoned."""
        if not isinstance(outcome, Lost):
            return
        if outcome.reason is not LossReason.CUT:
            _log_unclassified(call, searcher, outcome.reason.value)
            return
        if not self._classification_slots.acquire(blocking=False):
            _log_unclassified(call, searcher, 'too many at a time')
            return
        try:
            self._tasks.start(partial(self._classify_loss, call, searcher))
        except RuntimeError as error:
            self._classification_slots.release()
            _log_unclassified(call, searcher, str(error))

    def _classify_loss(self, call: Call, searcher: Searcher) -> None:
        content = fingerprint_of(call)
        try:
            evidence = self._loss_classifier.classify(
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
                **_log_fields(call, searcher),
                'evidence': evidence.name.lower(),
            },
        )
        if evidence is Evidence.DIED and self._links_work():
            incident = IncidentId(next(self._incident_ids))
            strike = Strike(incident, searcher.address, evidence)
            self._quarantine.strike(content, [strike])
            self.on_change()


def fingerprint_of(call: Call) -> Fingerprint:
    """Return the hash of a request, equal for every retry of it."""
    body = b'\n'.join((call.target, call.body))
    return fingerprint(ServiceName(call.host), call.method.decode(), body)


def _log_unclassified(call: Call, searcher: Searcher, reason: str) -> None:
    _log.info(
        'searcher loss not classified',
        extra={**_log_fields(call, searcher), 'reason': reason},
    )


def _log_fields(call: Call, searcher: Searcher) -> dict[str, str]:
    return {
        'request': call.request_id.decode('latin-1'),
        'fingerprint': fingerprint_of(call),
        'searcher': searcher.searcher_id,
        'address': searcher.address,
    }


def _ignore_change() -> None:
    """Do nothing; replaced once the links to the other VMs exist."""
