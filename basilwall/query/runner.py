"""Run one query for a caller: pin a snapshot, scatter, judge the coverage."""

from basilwall.backend.pools import SearcherPools
from basilwall.backend.suspects import REFUSED, Content, Suspects
from basilwall.document.model import Document
from basilwall.parts.clock import Clock
from basilwall.parts.fingerprints import fingerprint
from basilwall.platform.state import PlatformState
from basilwall.query.canary import Canary, Tried
from basilwall.query.policy import Policies, ServicePolicy
from basilwall.query.progress import Gathered, PartProgress, Query, gather
from basilwall.query.scatter import Scatter
from basilwall.query.watch import ContentWatch
from basilwall.records.answer import QueryAnswer, Refusal, RefusalReason
from basilwall.records.catalogue import Snapshot

#: When a caller may come back after a query that missed parts, in ms.
RETRY_AFTER_MS = 200
KIND = 'query'


class QueryRunner:
    """Answers queries on the thread of their caller."""

    def __init__(
        self,
        state: PlatformState,
        pools: SearcherPools,
        policies: Policies,
        suspects: Suspects,
        clock: Clock,
    ) -> None:
        self._state = state
        self._pools = pools
        self._policies = policies
        self._suspects = suspects
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
        content = Content(
            query.service,
            fingerprint(query.service, KIND, query.body),
        )
        tried = self._try_alone(query, content, snapshot, policy)
        if not tried.passed:
            return self._give_up(query, content, snapshot, document, tried)
        scatter = Scatter(
            query,
            snapshot,
            policy,
            self._pools,
            self._clock,
            ContentWatch(self._suspects, content, tried),
        )
        return _judge(query, snapshot, document, scatter.run())

    def _try_alone(
        self,
        query: Query,
        content: Content,
        snapshot: Snapshot,
        policy: ServicePolicy,
    ) -> Tried:
        if self._suspects.is_known_good(content, snapshot.snapshot_id):
            return Tried(passed=True)
        canary = Canary(
            query,
            snapshot,
            policy,
            self._pools,
            self._suspects,
            self._clock,
        )
        return canary.run(content)

    def _give_up(
        self,
        query: Query,
        content: Content,
        snapshot: Snapshot,
        document: Document,
        tried: Tried,
    ) -> QueryAnswer | Refusal:
        if self._suspects.judge(content) in REFUSED:
            return Refusal(
                query.request_id,
                RefusalReason.QUARANTINED,
                self._suspects.retry_after_ms(content),
                tried.may_have_run,
            )
        missing = [
            PartProgress(part, query.deadline, reason=tried.reason)
            for part in snapshot.parts
        ]
        gathered = gather(
            snapshot,
            missing,
            tried.attempts,
            tried.may_have_run,
        )
        return _judge(query, snapshot, document, gathered)

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
    )


def _merge(gathered: Gathered) -> bytes:
    arrays = (answer.records[1:-1] for answer in gathered.answers)
    joined = b','.join(array for array in arrays if array.strip())
    return b'[%s]' % joined
