"""Run one query for a caller: pin a snapshot, scatter, judge the coverage."""

from dataclasses import dataclass, replace

from basilwall.backend.crash_tracker import (
    REFUSED_SUSPICIONS,
    Content,
    CrashTracker,
)
from basilwall.document.model import Document
from basilwall.parts.fingerprints import fingerprint
from basilwall.query.canary import Canary, CanaryResult
from basilwall.query.content_status import ContentStatus
from basilwall.query.pinning import Pin, Pinning
from basilwall.query.policy import Policies, ServicePolicy
from basilwall.query.progress import PartProgress, Query, ScatterResult, gather
from basilwall.query.scatter import Scatter
from basilwall.query.sending import Backends, RestartSnapshotFinder
from basilwall.records.answer import QueryAnswer, Refusal, RefusalReason
from basilwall.records.catalogue import Snapshot

#: When a caller may come back after a query that missed parts, in ms.
RETRY_AFTER_MS = 200
REQUEST_KIND = 'query'


@dataclass(frozen=True, slots=True)
class _RunContext:
    """One query with what is known of it before it is sent."""

    query: Query
    content: Content
    policy: ServicePolicy


class QueryRunner:
    """Answers queries on the thread of their caller."""

    def __init__(
        self,
        pinning: Pinning,
        policies: Policies,
        backends: Backends,
        crash_tracker: CrashTracker,
    ) -> None:
        self._pinning = pinning
        self._policies = policies
        self._backends = backends
        self._crash_tracker = crash_tracker

    def run(self, query: Query, document: Document) -> QueryAnswer | Refusal:
        """Answer one query.

        Args:
            query: The admitted query.
            document: The document in force for its service.

        Returns:
            An answer from one snapshot, or a refusal at once.
        """
        pin = self._pinning.pin(query.service)
        if pin is None:
            return Refusal(
                query.request_id,
                RefusalReason.NO_SNAPSHOT,
                RETRY_AFTER_MS,
            )
        mark = fingerprint(query.service, REQUEST_KIND, query.body)
        content = Content(query.service, mark)
        asked = _RunContext(
            query, content, self._policies.for_document(document)
        )
        snapshot = pin.snapshot
        gathered = self._run_on(
            asked, snapshot, lambda: self._find_restart_snapshot(asked, pin)
        )
        if gathered.restart_snapshot is not None:
            snapshot = gathered.restart_snapshot
            again = self._run_on(asked, snapshot, _find_no_restart_snapshot)
            gathered = _add_attempts(gathered, again)
        if gathered.is_quarantined:
            return Refusal(
                query.request_id,
                RefusalReason.QUARANTINED,
                self._crash_tracker.retry_after_ms(content),
                gathered.may_have_run,
            )
        return _answer_or_refuse(query, snapshot, document, gathered)

    def _run_on(
        self,
        context: _RunContext,
        snapshot: Snapshot,
        find_restart_snapshot: RestartSnapshotFinder,
    ) -> ScatterResult:
        tried = self._run_canary(context, snapshot, find_restart_snapshot)
        if not tried.has_passed:
            return self._canary_failure(context, snapshot, tried)
        return Scatter(
            context.query,
            snapshot,
            context.policy,
            self._backends,
            find_restart_snapshot,
            ContentStatus(self._crash_tracker, context.content, tried),
        ).run()

    def _run_canary(
        self,
        context: _RunContext,
        snapshot: Snapshot,
        find_restart_snapshot: RestartSnapshotFinder,
    ) -> CanaryResult:
        if self._crash_tracker.is_known_good(
            context.content, snapshot.snapshot_id
        ):
            return CanaryResult(has_passed=True)
        canary = Canary(
            context.query,
            snapshot,
            context.policy,
            self._backends,
            self._crash_tracker,
            find_restart_snapshot,
        )
        with self._backends.pools.retain(snapshot):
            return canary.run(context.content)

    def _canary_failure(
        self,
        context: _RunContext,
        snapshot: Snapshot,
        canary_result: CanaryResult,
    ) -> ScatterResult:
        missing = [
            PartProgress(
                part, context.query.deadline, reason=canary_result.reason
            )
            for part in snapshot.parts
        ]
        answers, coverage = gather(snapshot, missing)
        return ScatterResult(
            answers,
            coverage,
            canary_result.attempts,
            canary_result.may_have_run,
            canary_result.restart_snapshot,
            self._crash_tracker.suspicion_of(context.content)
            in REFUSED_SUSPICIONS,
        )

    def _find_restart_snapshot(
        self, context: _RunContext, former_pin: Pin
    ) -> Snapshot | None:
        """Return the snapshot to start again on, if the time allows."""
        left = context.query.deadline - self._backends.clock.monotonic()
        if left < context.policy.hedge.delay:
            return None
        pin = self._pinning.pin(context.query.service)
        if (
            pin is None
            or not pin.is_complete
            or pin.snapshot == former_pin.snapshot
        ):
            return None
        return pin.snapshot


def _find_no_restart_snapshot() -> None:
    """Keep to the snapshot: a query starts again once at most."""


def _add_attempts(first: ScatterResult, again: ScatterResult) -> ScatterResult:
    return replace(
        again,
        attempts=first.attempts + again.attempts,
        may_have_run=first.may_have_run or again.may_have_run,
    )


def _answer_or_refuse(
    query: Query,
    snapshot: Snapshot,
    document: Document,
    scattered: ScatterResult,
) -> QueryAnswer | Refusal:
    if scattered.coverage.fraction < document.tolerated_coverage:
        return Refusal(
            query.request_id,
            RefusalReason.LOW_COVERAGE,
            RETRY_AFTER_MS,
            scattered.may_have_run,
            scattered.coverage,
        )
    return QueryAnswer(
        query.request_id,
        snapshot.snapshot_id,
        scattered.coverage,
        _merge_records(scattered),
        scattered.attempts,
        scattered.median_latency,
    )


def _merge_records(scattered: ScatterResult) -> bytes:
    arrays = (answer.records[1:-1] for answer in scattered.answers)
    joined = b','.join(array for array in arrays if array.strip())
    return b'[%s]' % joined
