"""Runs queries: pins a snapshot, scatters, and checks the coverage."""

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

#: Retry-after for callers whose query had too little coverage, in ms.
RETRY_AFTER_MS = 200
REQUEST_KIND = 'query'


@dataclass(frozen=True, slots=True)
class _RunContext:
    """One query with its content fingerprint and the policy in force."""

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
            An answer from one snapshot, or a refusal as soon as the tolerated
            coverage is out of reach.
        """
        pin = self._pinning.pin(query.service)
        if pin is None:
            return Refusal(
                query.request_id,
                RefusalReason.NO_SNAPSHOT,
                RETRY_AFTER_MS,
            )
        content_fingerprint = fingerprint(
            query.service, REQUEST_KIND, query.body
        )
        content = Content(query.service, content_fingerprint)
        context = _RunContext(
            query, content, self._policies.for_document(document)
        )
        snapshot = pin.snapshot
        result = self._run_on(
            context, snapshot, lambda: self._find_restart_snapshot(context, pin)
        )
        if result.restart_snapshot is not None:
            snapshot = result.restart_snapshot
            restarted = self._run_on(
                context, snapshot, _find_no_restart_snapshot
            )
            result = _add_attempts(result, restarted)
        if result.is_quarantined:
            return Refusal(
                query.request_id,
                RefusalReason.QUARANTINED,
                self._crash_tracker.retry_after_ms(content),
                result.may_have_run,
            )
        return _answer_or_refuse(query, snapshot, document, result)

    def _run_on(
        self,
        context: _RunContext,
        snapshot: Snapshot,
        find_restart_snapshot: RestartSnapshotFinder,
    ) -> ScatterResult:
        canary_result = self._run_canary(
            context, snapshot, find_restart_snapshot
        )
        if not canary_result.has_passed:
            return self._canary_failure(context, snapshot, canary_result)
        return Scatter(
            context.query,
            snapshot,
            context.policy,
            self._backends,
            find_restart_snapshot,
            ContentStatus(self._crash_tracker, context.content, canary_result),
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
        """Return the snapshot to restart on, if there is time for it."""
        seconds_left = context.query.deadline - self._backends.clock.monotonic()
        if seconds_left < context.policy.hedge.delay:
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
    """Return None: a query is restarted at most once."""


def _add_attempts(
    first: ScatterResult, restarted: ScatterResult
) -> ScatterResult:
    return replace(
        restarted,
        attempts=first.attempts + restarted.attempts,
        may_have_run=first.may_have_run or restarted.may_have_run,
    )


def _answer_or_refuse(
    query: Query,
    snapshot: Snapshot,
    document: Document,
    result: ScatterResult,
) -> QueryAnswer | Refusal:
    if result.coverage.fraction < document.tolerated_coverage:
        return Refusal(
            query.request_id,
            RefusalReason.LOW_COVERAGE,
            RETRY_AFTER_MS,
            result.may_have_run,
            result.coverage,
        )
    return QueryAnswer(
        query.request_id,
        snapshot.snapshot_id,
        result.coverage,
        _merge_records(result),
        result.attempts,
        result.median_latency,
    )


def _merge_records(result: ScatterResult) -> bytes:
    arrays = (answer.records[1:-1] for answer in result.answers)
    joined = b','.join(array for array in arrays if array.strip())
    return b'[%s]' % joined
