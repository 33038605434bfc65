"""Creates the attempts of a query and records which snapshots are served.

Every attempt carries the pinned snapshot and its own attempt id. A searcher
that is known to lack the snapshot is used only if no other is left, or as an
occasional probe.
"""

from collections.abc import Callable
from dataclasses import dataclass

from basilwall.backend.pool import AttemptJob, SearcherPool
from basilwall.backend.pools import SearcherPools
from basilwall.parts.attempt_ids import AttemptIds
from basilwall.parts.clock import Clock
from basilwall.parts.served_snapshots import ServedSnapshots
from basilwall.query.inbox import Inbox
from basilwall.query.progress import PartProgress, Query
from basilwall.records.attempt import (
    Answered,
    AttemptOutcome,
    AttemptRequest,
    MayHaveRun,
    OutcomeTag,
    RequestKind,
)
from basilwall.records.catalogue import Part, Snapshot
from basilwall.records.ids import SearcherAddress

#: Returns the snapshot to restart a running query on, if there is one.
RestartSnapshotFinder = Callable[[], Snapshot | None]


@dataclass(frozen=True, slots=True)
class Backends:
    """Shared collaborators of all queries for sending attempts."""

    pools: SearcherPools
    served_snapshots: ServedSnapshots
    attempt_ids: AttemptIds
    clock: Clock
    make_inbox: Callable[[], Inbox] = Inbox


class Sender:
    """Creates the attempts of one query on one snapshot."""

    def __init__(
        self,
        query: Query,
        snapshot: Snapshot,
        backends: Backends,
        inbox: Inbox,
    ) -> None:
        self._query = query
        self._snapshot = snapshot
        self._backends = backends
        self._inbox = inbox
        self._has_probed = False

    def pick(self, progress: PartProgress) -> SearcherPool | None:
        """Choose the searcher for the next attempt at a part.

        At most one attempt of a query probes a searcher that is recorded as
        lacking the snapshot.
        """
        pick = self._backends.pools.pick
        lacking = self.searchers_lacking_snapshot(progress.part)
        pool = pick(progress.part, progress.tried_searchers | lacking)
        may_probe = not (self._has_probed or progress.tried_searchers)
        if lacking and (may_probe or pool is None):
            pool = self._probe(progress, lacking) or pool
        if pool is None and not progress.tried_searchers:
            # All are recorded as lacking the snapshot, but the record may be
            # outdated, so one of them is tried.
            return pick(progress.part, progress.tried_searchers)
        return pool

    def make_job(self, part: Part) -> AttemptJob:
        """Return a new attempt at a part, not yet submitted."""
        request = AttemptRequest(
            service=self._query.service,
            instance=part.instance,
            kind=RequestKind.IDEMPOTENT,
            request_id=self._query.request_id,
            attempt_id=self._backends.attempt_ids.next(),
            snapshot=self._snapshot.snapshot_id,
            body=self._query.body,
            deadline=self._query.deadline,
        )
        return AttemptJob(request, self._inbox.put)

    def note_reply(self, outcome: AttemptOutcome) -> None:
        """Record which snapshots the searcher of a reply serves.

        Args:
            outcome: The outcome of an attempt at the pinned snapshot.
        """
        if isinstance(outcome, MayHaveRun):
            return
        pinned_id = self._snapshot.snapshot_id
        lacks_snapshot = outcome.tag is OutcomeTag.WRONG_SNAPSHOT
        if isinstance(outcome, Answered):
            lacks_snapshot = outcome.snapshot != pinned_id
        self._backends.served_snapshots.record_reply(
            outcome.searcher,
            outcome.held_snapshots,
            pinned_id,
            is_denied=lacks_snapshot,
        )

    def searchers_lacking_snapshot(self, part: Part) -> set[SearcherAddress]:
        """Return the searchers of a part known to lack the snapshot."""
        snapshot = self._snapshot.snapshot_id
        return {
            address
            for address in part.searchers
            if self._backends.served_snapshots.lacks(address, snapshot)
        }

    def _probe(
        self,
        progress: PartProgress,
        lacking: set[SearcherAddress],
    ) -> SearcherPool | None:
        snapshot = self._snapshot.snapshot_id
        for address in lacking - progress.tried_searchers:
            if self._backends.served_snapshots.claim_probe(address, snapshot):
                self._has_probed = True
                others = set(progress.part.searchers) - {address}
                return self._backends.pools.pick(progress.part, others)
        return None
