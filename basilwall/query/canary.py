"""Ask one searcher before all: a request that crashes it stops there.

A content that nobody here has seen answered goes to one searcher first, and
to every part only once that one has answered (Dean and Barroso, The Tail at
Scale, 2013). All VMs choose the same searcher for a content, so callers that
send it through many VMs at once lose one searcher and not one for each VM.
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

#: Searchers that one query may lose before it is given up on.
MAX_LOST_SEARCHERS = 2
#: Peers are asked why the chosen searcher is gone, and given this time to
#: answer, in seconds.
CONNECT_FAILURE_PAUSE_SECONDS = 0.02
#: A searcher slower than this many hedge delays is asked alone last.
SLOW_HEDGE_DELAYS = 1


@dataclass(slots=True)
class CanaryResult:
    """What came of asking single searchers.

    `passed` is True once the whole service may be asked.
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
    """One query's way through single searchers."""

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
        """Ask single searchers until one answers.

        A content with strikes is tried at another part first, so that one
        part does not lose two replicas to it. Then each part that lost a
        searcher must answer, since an answer clears its own part only.

        Args:
            content: The content of the query.

        Returns:
            What came of it, at the query's deadline at the latest.
        """
        tried = self.result
        self._policy.budget.earn()
        while not (tried.has_ended or tried.has_passed):
            suspicion = self._crash_tracker.wait_for_suspicion(
                content, self._query.deadline
            )
            if suspicion in REFUSED_SUSPICIONS:
                return tried
            if tried.has_answered and suspicion is Suspicion.NONE:
                tried.has_passed = True
            else:
                self._try_next(content, suspicion)
        return tried

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
        """Take outcomes until one answers or none is in flight."""
        deadline = self._query.deadline
        hedge_at = self._clock.monotonic() + self._policy.hedge.delay
        while self._part_by_job:
            due = min(hedge_at, deadline) if may_hedge else deadline
            event = self._next_event(due)
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
        """Ask one more; False if there is none, or the content is suspect."""
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
            # What is known of them may be old, so one of them is asked.
            return self._choose(content, set())
        return candidate

    def _choose(
        self,
        content: Content,
        lacking: set[SearcherAddress],
    ) -> Candidate | None:
        parts = self._snapshot.parts
        struck = self._crash_tracker.struck_searchers(content)
        under_strike = [part for part in parts if struck & set(part.searchers)]
        untouched = [part for part in parts if part not in under_strike]
        wanted = [under_strike]
        if not self.result.has_answered:
            wanted.insert(0, untouched)
        for group in wanted:
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
        tried = self.result
        tried.attempts += 1
        tried.tried_searchers.add(candidate.pool.address)
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
        """Take one outcome in; True if the searcher ran it and lives."""
        part = self._part_by_job.pop(job, None)
        if part is None:
            return False
        self._sender.note_reply(outcome)
        self._crash_tracker.note_outcome(content, part, job, outcome)
        tried = self.result
        tried.may_have_run |= isinstance(outcome, Answered | MayHaveRun)
        if not isinstance(outcome, Answered):
            self._handle_failure(outcome)
            return False
        self._policy.hedge.observe(job.ended_at - job.sent_at)
        tried.has_answered = True
        if outcome.snapshot == self._snapshot.snapshot_id:
            tried.answer_by_instance[part.instance] = outcome
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
        """Let no more searchers run a content at once than may be lost."""
        oldest = next(iter(self._part_by_job))
        self._part_by_job.pop(oldest)
        self.result.may_have_run = True
        oldest.cancel()

    def _cancel_all(self) -> None:
        for job in self._part_by_job:
            job.cancel()
        self._part_by_job = {}
