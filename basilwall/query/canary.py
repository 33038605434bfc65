"""Canary requests: tries a query on one searcher before all shards.

Request content that this VM has not yet seen answered goes to one searcher
first, and to all shards only after that searcher has answered (Dean and
Barroso, The Tail at Scale, 2013). A request that crashes searchers is thus
stopped early. All VMs choose the same searcher for the same content, so
sending it through many VMs at once costs one searcher, not one per VM.
"""

import time
from dataclasses import dataclass, field

from basilwall.backend.crash_tracker import (
    REFUSED_SUSPICIONS,
    Content,
    CrashTracker,
)
from basilwall.backend.pool import AttemptJob
from basilwall.backend.rules import RULE_BY_KIND_AND_TAG
from basilwall.parts.quarantine import Suspicion
from basilwall.query.candidates import Candidate, choose_canary_searcher
from basilwall.query.inbox import OutcomeEvent
from basilwall.query.policy import ServicePolicy
from basilwall.query.progress import Query
from basilwall.query.sending import Backends, RestartSnapshotFinder, Sender
from basilwall.records.answer import MissingReason
from basilwall.records.attempt import (
    Answered,
    AttemptOutcome,
    MayHaveRun,
    NotRun,
    OutcomeTag,
    RequestKind,
)
from basilwall.records.catalogue import Part, Snapshot
from basilwall.records.ids import (
    InstanceName,
    SearcherAddress,
)

#: The query fails after its canary requests have lost this many searchers.
MAX_LOST_SEARCHERS = 2
#: Time for other VMs to report crashes after a failed connect, in seconds.
CONNECT_FAILURE_PAUSE_SECONDS = 0.02
#: Searchers slower than this many hedge delays are the last choice as canary.
SLOW_HEDGE_DELAYS = 1


@dataclass(slots=True)
class CanaryResult:
    """Result of the canary phase of one query.

    `has_answered` is True once a searcher has run the query, `has_ended` once
    no more canary requests are sent, and `has_passed` once the query may be
    sent to all shards. `restart_snapshot` is set if the query should be
    restarted on that snapshot. `reason` says why the query failed.
    """

    answer_by_instance: dict[InstanceName, Answered] = field(
        default_factory=dict,
    )
    tried_searchers: set[SearcherAddress] = field(default_factory=set)
    attempts: int = 0
    lost_count: int = 0
    may_have_run: bool = False
    has_answered: bool = False
    has_ended: bool = False
    has_passed: bool = False
    restart_snapshot: Snapshot | None = None
    reason: MissingReason = MissingReason.NO_SEARCHER


class Canary:
    """Sends one query to single searchers until it is known to be safe.

    `find_restart_snapshot` returns another snapshot to restart the query on
    if there is one; `pause_seconds` is the pause after a failed connect.
    """

    def __init__(
        self,
        query: Query,
        snapshot: Snapshot,
        policy: ServicePolicy,
        backends: Backends,
        crash_tracker: CrashTracker,
        find_restart_snapshot: RestartSnapshotFinder,
        pause_seconds: float = CONNECT_FAILURE_PAUSE_SECONDS,
    ) -> None:
        self.result = CanaryResult()
        self._pause_seconds = pause_seconds
        self._query = query
        self._snapshot = snapshot
        self._policy = policy
        self._pools = backends.pools
        self._crash_tracker = crash_tracker
        self._find_restart_snapshot = find_restart_snapshot
        self._clock = backends.clock
        self._inbox = backends.make_inbox()
        self._sender = Sender(query, snapshot, backends, self._inbox)
        self._part_by_job: dict[AttemptJob, Part] = {}

    def run(self, content: Content) -> CanaryResult:
        """Send canary requests until the query is known to be safe or fails.

        Content with strikes is tried on another shard first, so that no
        shard loses two replicas to it. Then each shard that lost a searcher
        must answer, because an answer clears the strikes of its own shard
        only.

        Args:
            content: The request content of the query.

        Returns:
            The result, at the query's deadline at the latest.
        """
        result = self.result
        self._policy.budget.earn()
        while not (result.has_ended or result.has_passed):
            suspicion = self._crash_tracker.wait_for_suspicion(
                content, self._query.deadline
            )
            if suspicion in REFUSED_SUSPICIONS:
                return result
            if result.has_answered and suspicion is Suspicion.NONE:
                result.has_passed = True
            else:
                self._try_next(content, suspicion)
        return result

    def _try_next(self, content: Content, suspicion: Suspicion) -> None:
        candidate = self._next_candidate(content)
        if candidate is None:
            self.result.has_ended = True
            self.result.has_passed = self.result.has_answered
            return
        self._send(candidate)
        may_hedge = suspicion is Suspicion.NONE
        try:
            self._gather(content, may_hedge=may_hedge)
        finally:
            self._cancel_all()

    def _gather(self, content: Content, *, may_hedge: bool) -> None:
        """Handle outcomes until a searcher answers or none is in flight."""
        deadline = self._query.deadline
        hedge_at = self._clock.monotonic() + self._policy.hedge.delay
        while self._part_by_job:
            wait_until = min(hedge_at, deadline) if may_hedge else deadline
            event = self._next_event(wait_until)
            if event is None and self._clock.monotonic() >= deadline:
                self._note_deadline()
                return
            if event is None:
                may_hedge = self._hedge(content)
                hedge_at += self._policy.hedge.delay
            elif self._handle_outcome(content, *event):
                return

    def _note_deadline(self) -> None:
        self.result.has_ended = True
        self.result.may_have_run = True
        self.result.reason = MissingReason.DEADLINE

    def _hedge(self, content: Content) -> bool:
        """Send a hedge; return whether another one may follow."""
        if self._crash_tracker.suspicion_of(content) is not Suspicion.NONE:
            return False
        candidate = self._next_candidate(content)
        if candidate is None or not self._policy.budget.spend():
            return False
        if len(self._part_by_job) >= MAX_LOST_SEARCHERS:
            self._cancel_oldest()
        self._send(candidate)
        return True

    def _next_candidate(self, content: Content) -> Candidate | None:
        lacking = set().union(
            *map(self._sender.searchers_lacking_snapshot, self._snapshot.parts),
        )
        candidate = self._choose(content, lacking)
        if candidate is None and not self.result.tried_searchers:
            # All are recorded as lacking the snapshot, but the record may be
            # outdated, so one of them is tried.
            return self._choose(content, set())
        return candidate

    def _choose(
        self,
        content: Content,
        lacking: set[SearcherAddress],
    ) -> Candidate | None:
        parts = self._snapshot.parts
        struck = self._crash_tracker.struck_searchers(content)
        with_strikes = [part for part in parts if struck & set(part.searchers)]
        without_strikes = [part for part in parts if part not in with_strikes]
        part_groups = [with_strikes]
        if not self.result.has_answered:
            part_groups.insert(0, without_strikes)
        for group in part_groups:
            candidate = choose_canary_searcher(
                content.fingerprint,
                group,
                self._pools,
                struck,
                self.result.tried_searchers | lacking,
                self._policy.hedge.delay * SLOW_HEDGE_DELAYS,
            )
            if candidate is not None:
                return candidate
        return None

    def _send(self, candidate: Candidate) -> None:
        result = self.result
        result.attempts += 1
        result.tried_searchers.add(candidate.pool.address)
        job = self._sender.make_job(candidate.part)
        self._part_by_job[job] = candidate.part
        candidate.pool.submit(job)

    def _next_event(self, until: float) -> OutcomeEvent | None:
        wait = max(until - self._clock.monotonic(), 0)
        return self._inbox.take(1, wait)

    def _handle_outcome(
        self,
        content: Content,
        job: AttemptJob,
        outcome: AttemptOutcome,
    ) -> bool:
        """Handle one outcome; return whether the searcher answered."""
        part = self._part_by_job.pop(job, None)
        if part is None:
            return False
        self._sender.note_reply(outcome)
        self._crash_tracker.note_outcome(content, part, job, outcome)
        result = self.result
        result.may_have_run |= isinstance(outcome, Answered | MayHaveRun)
        if not isinstance(outcome, Answered):
            self._handle_failure(outcome)
            return False
        self._policy.hedge.observe(job.ended_at - job.sent_at)
        result.has_answered = True
        if outcome.snapshot == self._snapshot.snapshot_id:
            result.answer_by_instance[part.instance] = outcome
        return True

    def _handle_failure(self, outcome: NotRun | MayHaveRun) -> None:
        rule = RULE_BY_KIND_AND_TAG[RequestKind.IDEMPOTENT, outcome.tag]
        self.result.reason = rule.missing_reason
        self.result.lost_count += outcome.tag is OutcomeTag.LOST
        self.result.has_ended |= (
            not rule.may_retry or self.result.lost_count >= MAX_LOST_SEARCHERS
        )
        if outcome.tag is OutcomeTag.SHED and not self._part_by_job:
            self.result.has_ended |= not self._policy.budget.spend()
        if outcome.tag is OutcomeTag.WRONG_SNAPSHOT:
            self.result.restart_snapshot = self._find_restart_snapshot()
            self.result.has_ended |= self.result.restart_snapshot is not None
        if outcome.tag is OutcomeTag.NOT_SENT:
            self._crash_tracker.on_change()
            time.sleep(self._pause_seconds)

    def _cancel_oldest(self) -> None:
        """Cancel the oldest attempt.

        This keeps the number of searchers that run the content at once within
        `MAX_LOST_SEARCHERS`.
        """
        oldest = next(iter(self._part_by_job))
        self._part_by_job.pop(oldest)
        self.result.may_have_run = True
        oldest.cancel()

    def _cancel_all(self) -> None:
        for job in self._part_by_job:
            job.cancel()
        self._part_by_job = {}
