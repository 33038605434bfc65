"""Run one query for a caller: pin a snapshot, scatter, judge the coverage."""

from dataclasses import replace

from basilwall.document.model import Document
from basilwall.query.pinning import Pinning
from basilwall.query.policy import Policies, ServicePolicy
from basilwall.query.progress import Gathered, Query
from basilwall.query.scatter import Scatter
from basilwall.query.sending import Backends
from basilwall.records.answer import QueryAnswer, Refusal, RefusalReason
from basilwall.records.catalogue import Snapshot

#: When a caller may come back after a query that missed parts, in ms.
RETRY_AFTER_MS = 200


class QueryRunner:
    """Answers queries on the thread of their caller."""

    def __init__(
        self,
        pinning: Pinning,
        policies: Policies,
        backends: Backends,
    ) -> None:
        self._pinning = pinning
        self._policies = policies
        self._backends = backends

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
        policy = self._policies.of(document)
        first = self._scatter(query, pin.snapshot, policy, may_restart=True)
        if first.stopped_for is None:
            return _judge(query, pin.snapshot, document, first)
        second = self._scatter(
            query,
            first.stopped_for,
            policy,
            may_restart=False,
        )
        return _judge(
            query,
            first.stopped_for,
            document,
            replace(
                second,
                attempts=first.attempts + second.attempts,
                may_have_run=first.may_have_run or second.may_have_run,
            ),
        )

    def _scatter(
        self,
        query: Query,
        snapshot: Snapshot,
        policy: ServicePolicy,
        *,
        may_restart: bool,
    ) -> Gathered:
        def better_snapshot() -> Snapshot | None:
            if not may_restart:
                return None
            return self._better(query, snapshot, policy)

        return Scatter(
            query,
            snapshot,
            policy,
            self._backends,
            better_snapshot,
        ).run()

    def _better(
        self,
        query: Query,
        snapshot: Snapshot,
        policy: ServicePolicy,
    ) -> Snapshot | None:
        """Return the snapshot to start again on, if the time allows."""
        left = query.deadline - self._backends.clock.monotonic()
        if left < policy.hedge.delay:
            return None
        pin = self._pinning.pin(query.service)
        if pin is None or not pin.whole or pin.snapshot is snapshot:
            return None
        return pin.snapshot


def _judge(
    query: Query,
    snapshot: Snapshot,
    document: Document,
    gathered: Gathered,
) -> QueryAnswer | Refusal:
    if gathered.coverage.fraction < document.tolerated_coverage:
        return Refusal(
            query.request_id,
            RefusalReason.LOW_COVERAGE,
            RETRY_AFTER_MS,
            gathered.may_have_run,
            gathered.coverage,
        )
    return QueryAnswer(
        query.request_id,
        snapshot.snapshot_id,
        gathered.coverage,
        _merge(gathered),
        gathered.attempts,
    )


def _merge(gathered: Gathered) -> bytes:
    arrays = (answer.records[1:-1] for answer in gathered.answers)
    joined = b','.join(array for array in arrays if array.strip())
    return b'[%s]' % joined
