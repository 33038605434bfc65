"""The attempts of one query, and what their replies say beside the answer.

Every attempt carries the pinned snapshot and an identifier of its own. A
searcher that is known to lack the snapshot is asked only if no other is left.
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

#: Returns a snapshot that serves a running query better, if there is one.
RestartSnapshotFinder = Callable[[], Snapshot | None]


@dataclass(frozen=True, slots=True)
class Backends:
    """What every scatter sends with, and where it notes what replies say."""

    pools: SearcherPools
    sightings: ServedSnapshots
    attempt_ids: AttemptIds
    clock: Clock
    make_inbox: Callable[[], Inbox] = Inbox


class Sender:
    """Makes the attempts of one query at one snapshot."""

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
        """Choose the searcher for the next attempt at a part."""
        pick = self._backends.pools.pick
        lacking = self.searchers_lacking_snapshot(progress.part)
        pool = pick(progress.part, progress.tried_searchers | lacking)
        may_probe = not (self._has_probed or progress.tried_searchers)
        if lacking and (may_probe or pool is None):
            pool = self._probe(progress, lacking) or pool
        if pool is None and not progress.tried_searchers:
            # What is known of them may be old, so one of them is asked.
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
        """Keep what a reply says of its searcher.

        Args:
            outcome: The outcome of an attempt at the pinned snapshot.
        """
        if isinstance(outcome, MayHaveRun):
            return
        wanted = self._snapshot.snapshot_id
        denied = outcome.tag is OutcomeTag.WRONG_SNAPSHOT
        if isinstance(outcome, Answered):
            denied = outcome.snapshot != wanted
        self._backends.sightings.record_reply(
            outcome.searcher,
            outcome.held_snapshots,
            wanted,
            is_denied=denied,
        )

    def searchers_lacking_snapshot(self, part: Part) -> set[SearcherAddress]:
        """Return the searchers of a part known to lack the snapshot."""
        snapshot = self._snapshot.snapshot_id
        return {
            address
            for address in part.searchers
            if self._backends.sightings.lacks(address, snapshot)
        }

    def _probe(
        self,
        progress: PartProgress,
        lacking: set[SearcherAddress],
    ) -> SearcherPool | None:
        snapshot = self._snapshot.snapshot_id
        for address in lacking - progress.tried_searchers:
            if self._backends.sightings.claim_probe(address, snapshot):
                self._has_probed = True
                others = set(progress.part.searchers) - {address}
                return self._backends.pools.pick(progress.part, others)
        return None
