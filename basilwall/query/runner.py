"""Run one query for a caller: pin a snapshot, scatter, judge the coverage."""

from dataclasses import dataclass, replace

from basilwall.backend.suspects import REFUSED, Content, Suspects
from basilwall.document.model import Document
from basilwall.parts.fingerprints import fingerprint
from basilwall.query.canary import Canary, Tried
from basilwall.query.pinning import Pin, Pinning
from basilwall.query.policy import Policies, ServicePolicy
from basilwall.query.progress import Gathered, PartProgress, Query, gather
from basilwall.query.scatter import Scatter
from basilwall.query.sending import Backends, Better
from basilwall.query.watch import ContentWatch
from basilwall.records.answer import QueryAnswer, Refusal, RefusalReason
from basilwall.records.catalogue import Snapshot

#: When a caller may come back after a query that missed parts, in ms.
RETRY_AFTER_MS = 200
KIND = 'query'


@dataclass(frozen=True, slots=True)
class _Asked:
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
        suspects: Suspects,
    ) -> None:
        self._pinning = pinning
        self._policies = policies
        self._backends = backends
        self._suspects = suspects

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
        mark = fingerprint(query.service, KIND, query.body)
        content = Content(query.service, mark)
        asked = _Asked(query, content, self._policies.of(document))
        snapshot = pin.snapshot
        gathered = self._ask(asked, snapshot, lambda: self._better(asked, pin))
        if gathered.stopped_for is not None:
            snapshot = gathered.stopped_for
            again = self._ask(asked, snapshot, _no_better)
            gathered = _added(gathered, again)
        if gathered.is_quarantined:
            return Refusal(
                query.request_id,
                RefusalReason.QUARANTINED,
                self._suspects.retry_after_ms(content),
                gathered.may_have_run,
            )
        return _judge(query, snapshot, document, gathered)

    def _ask(
        self,
        asked: _Asked,
        snapshot: Snapshot,
        better_snapshot: Better,
    ) -> Gathered:
        tried = self._try_alone(asked, snapshot, better_snapshot)
        if not tried.passed:
            return self._not_passed(asked, snapshot, tried)
        return Scatter(
            asked.query,
            snapshot,
            asked.policy,
            self._backends,
            better_snapshot,
            ContentWatch(self._suspects, asked.content, tried),
        ).run()

    def _try_alone(
        self,
        asked: _Asked,
        snapshot: Snapshot,
        better_snapshot: Better,
    ) -> Tried:
        if self._suspects.is_known_good(asked.content, snapshot.snapshot_id):
            return Tried(passed=True)
        canary = Canary(
            asked.query,
            snapshot,
            asked.policy,
            self._backends,
            self._suspects,
            better_snapshot,
        )
        with self._backends.pools.holding(snapshot):
            return canary.run(asked.content)

    def _not_passed(
        self,
        asked: _Asked,
        snapshot: Snapshot,
        tried: Tried,
    ) -> Gathered:
        missing = [
            PartProgress(part, asked.query.deadline, reason=tried.reason)
            for part in snapshot.parts
        ]
        answers, coverage = gather(snapshot, missing)
        return Gathered(
            answers,
            coverage,
            tried.attempts,
            tried.may_have_run,
            tried.stopped_for,
            self._suspects.judge(asked.content) in REFUSED,
        )

    def _better(self, asked: _Asked, former: Pin) -> Snapshot | None:
        """Return the snapshot to start again on, if the time allows."""
        left = asked.query.deadline - self._backends.clock.monotonic()
        if left < asked.policy.hedge.delay:
            return None
        pin = self._pinning.pin(asked.query.service)
        if pin is None or not pin.whole or pin.snapshot == former.snapshot:
            return None
        return pin.snapshot


def _no_better() -> None:
    """Keep to the snapshot: a query starts again once at most."""


def _added(first: Gathered, again: Gathered) -> Gathered:
    return replace(
        again,
        attempts=first.attempts + again.attempts,
        may_have_run=first.may_have_run or again.may_have_run,
    )


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
