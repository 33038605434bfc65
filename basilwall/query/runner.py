"""Run one query for a caller: pin a snapshot, scatter, judge the coverage."""

from basilwall.backend.pools import SearcherPools
from basilwall.document.model import Document
from basilwall.parts.clock import Clock
from basilwall.platform.state import PlatformState
from basilwall.query.policy import Policies
from basilwall.query.progress import Gathered, Query
from basilwall.query.scatter import Scatter
from basilwall.records.answer import QueryAnswer, Refusal, RefusalReason
from basilwall.records.catalogue import Snapshot

#: When a caller may come back after a query that missed parts, in ms.
RETRY_AFTER_MS = 200


class QueryRunner:
    """Answers queries on the thread of their caller."""

    def __init__(
        self,
        state: PlatformState,
        pools: SearcherPools,
        policies: Policies,
        clock: Clock,
    ) -> None:
        self._state = state
        self._pools = pools
        self._policies = policies
        self._clock = clock

    def run(self, query: Query, document: Document) -> QueryAnswer | Refusal:
        """Answer one query.

        Args:
            query: The admitted query.
            document: The document in force for its service.

        Returns:
            An answer from one snapshot, or a refusal at once.
        """
        snapshot = self._pin(query)
        if snapshot is None:
            return Refusal(
                query.request_id,
                RefusalReason.NO_SNAPSHOT,
                RETRY_AFTER_MS,
            )
        policy = self._policies.of(document)
        scatter = Scatter(
            query,
            snapshot,
            policy,
            self._pools,
            self._clock,
        )
        return _judge(query, snapshot, document, scatter.run())

    def _pin(self, query: Query) -> Snapshot | None:
        catalogue = self._state.catalogue_by_service.get(query.service)
        if catalogue is None or not catalogue.snapshots:
            return None
        return catalogue.snapshots[0]


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
        gathered.half_wait,
    )


def _merge(gathered: Gathered) -> bytes:
    arrays = (answer.records[1:-1] for answer in gathered.answers)
    joined = b','.join(array for array in arrays if array.strip())
    return b'[%s]' % joined
