"""Scatter-gather of one query over the shards of one snapshot.

It runs on the thread of the caller's request: the thread sends an attempt to
each shard, waits for the next outcome or hedge time, and returns as soon as
waiting longer can't improve the result.
"""

from basilwall.backend.pool import AttemptJob
from basilwall.backend.rules import RULE_BY_KIND_AND_TAG
from basilwall.query.content_status import ContentStatus
from basilwall.query.inbox import OutcomeEvent
from basilwall.query.policy import ServicePolicy
from basilwall.query.progress import (
    PartProgress,
    Query,
    ScatterResult,
    gather,
    max_coverage_fraction,
)
from basilwall.query.sending import Backends, RestartSnapshotFinder, Sender
from basilwall.query.timing import QueryTiming
from basilwall.records.answer import MissingReason
from basilwall.records.attempt import (
    Answered,
    AttemptOutcome,
    MayHaveRun,
    OutcomeTag,
    RequestKind,
)
from basilwall.records.catalogue import Snapshot

#: Reasons for a missing part that a restart on another snapshot may avoid.
SNAPSHOT_REASONS = frozenset(
    (MissingReason.WRONG_SNAPSHOT, MissingReason.NO_SEARCHER),
)


class Scatter:
    """Runs one query over the parts of one snapshot.

    If a part can't be served from this snapshot, `find_restart_snapshot` is
    called; if it returns another snapshot, the run ends at once.
    """

    def __init__(
        self,
        query: Query,
        snapshot: Snapshot,
        policy: ServicePolicy,
        backends: Backends,
        find_restart_snapshot: RestartSnapshotFinder,
        content_status: ContentStatus,
    ) -> None:
        self._query = query
        self._snapshot = snapshot
        self._policy = policy
        self._backends = backends
        self._find_restart_snapshot = find_restart_snapshot
        self._clock = backends.clock
        self._inbox = backends.make_inbox()
        self._sender = Sender(query, snapshot, backends, self._inbox)
        self._progress_by_job: dict[AttemptJob, PartProgress] = {}
        self._open: list[PartProgress] = []
        self._ended: list[PartProgress] = []
        self._deferred: list[PartProgress] = []
        self._content_status = content_status
        self._may_have_run = content_status.canary_result.may_have_run
        self._attempts = content_status.canary_result.attempts
        self._is_out_of_reach = False
        self._restart_snapshot: Snapshot | None = None
        self._timing = QueryTiming(
            policy,
            self._clock.monotonic(),
            query.deadline,
            snapshot,
        )

    def run(self) -> ScatterResult:
        """Send to every part and gather the answers.

        Returns:
            The result, once every part has ended, the tolerated coverage is
            out of reach, a restart is needed, or the query's time is over.
        """
        with self._backends.pools.retain(self._snapshot):
            self._send_first()
            while not self._has_stopped and (
                self._open or self._send_deferred()
            ):
                now = self._clock.monotonic()
                event = self._next_event(now)
                if event is None and now >= self._timing.ends_at:
                    break
                if event is None:
                    self._hedge(self._clock.monotonic())
                else:
                    self._handle_outcome(*event)
            self._abandon_open_parts()
        self._ended.extend(self._deferred)
        answers, coverage = gather(self._snapshot, self._ended)
        return ScatterResult(
            answers,
            coverage,
            self._attempts,
            self._may_have_run,
            self._restart_snapshot,
            median_latency=self._timing.median_latency(self._clock.monotonic()),
        )

    @property
    def _has_stopped(self) -> bool:
        return self._is_out_of_reach or self._restart_snapshot is not None

    def _send_first(self) -> None:
        hedge_at = self._timing.first_hedge_at
        self._policy.budget.earn(len(self._snapshot.parts))
        self._open = [
            PartProgress(part, hedge_at) for part in self._snapshot.parts
        ]
        for progress in tuple(self._open):
            progress.answer = self._content_status.canary_answer(progress.part)
            if progress.answer is not None:
                self._timing.note_canary_answer(progress)
            if progress.answer is not None or not self._send(progress):
                self._end(progress)
            if self._has_stopped:
                break

    def _send(self, progress: PartProgress) -> bool:
        pool = self._sender.pick(progress)
        if pool is None:
            return False
        self._attempts += 1
        job = self._sender.make_job(progress.part)
        progress.tried_searchers.add(pool.address)
        progress.jobs.append(job)
        self._progress_by_job[job] = progress
        pool.submit(job)
        return True

    def _next_event(self, now: float) -> OutcomeEvent | None:
        next_hedge_at = min(progress.hedge_at for progress in self._open)
        wait = min(next_hedge_at, self._timing.ends_at) - now
        min_events = min(len(self._open), self._timing.answers_needed)
        return self._inbox.take(min_events, wait)

    def _hedge(self, now: float) -> None:
        for progress in self._open:
            if progress.hedge_at > now:
                continue
            progress.hedge_at = self._timing.next_hedge_at(now)
            keeps_reserve = not self._timing.is_overdue(now)
            if self._content_status.is_suspect:
                continue
            has_untried = len(progress.tried_searchers) < len(
                progress.part.searchers
            )
            if has_untried and self._policy.budget.spend(keeps_reserve):
                self._send(progress)

    def _handle_outcome(self, job: AttemptJob, outcome: AttemptOutcome) -> None:
        progress = self._progress_by_job.pop(job, None)
        if progress is None:
            return
        progress.jobs.remove(job)
        self._may_have_run |= isinstance(outcome, Answered | MayHaveRun)
        self._sender.note_reply(outcome)
        self._content_status.note_outcome(progress.part, job, outcome)
        if progress.has_ended:
            return
        if isinstance(outcome, Answered):
            self._handle_answer(progress, job, outcome)
        else:
            self._handle_failure(progress, outcome)

    def _handle_answer(
        self,
        progress: PartProgress,
        job: AttemptJob,
        answer: Answered,
    ) -> None:
        self._policy.hedge.observe(job.ended_at - job.queued_at)
        if answer.snapshot != self._snapshot.snapshot_id:
            progress.reason = MissingReason.WRONG_SNAPSHOT
            self._retry(progress)
            return
        progress.answer = answer
        self._timing.note_answer(job.ended_at, progress)
        self._end(progress)

    def _handle_failure(
        self,
        progress: PartProgress,
        outcome: AttemptOutcome,
    ) -> None:
        rule = RULE_BY_KIND_AND_TAG[RequestKind.IDEMPOTENT, outcome.tag]
        progress.reason = rule.missing_reason
        if rule.may_retry:
            # An attempt that was not sent put no load on a searcher.
            is_free = outcome.tag is OutcomeTag.NOT_SENT
            self._retry(progress, is_free=is_free)
        elif not progress.jobs:
            self._end(progress)

    def _retry(
        self,
        progress: PartProgress,
        *,
        is_free: bool = False,
    ) -> None:
        if progress.jobs:
            return
        if self._content_status.is_suspect:
            self._open.remove(progress)
            self._deferred.append(progress)
            return
        # Searchers that lack a snapshot are remembered, so few attempts fail
        # for that reason, and their retries need no budget.
        is_denied = progress.reason is MissingReason.WRONG_SNAPSHOT
        may_send = is_free or is_denied or self._policy.budget.spend()
        if not (may_send and self._send(progress)):
            self._end(progress)

    def _send_deferred(self) -> bool:
        """Send one deferred part alone; return whether one was sent.

        Parts are deferred while the content is suspected to crash searchers.
        """
        while self._deferred and not self._has_stopped:
            progress = self._deferred.pop()
            progress.hedge_at = self._query.deadline
            self._open.append(progress)
            if self._content_status.may_run and self._send(progress):
                return True
            self._end(progress)
        return False

    def _end(self, progress: PartProgress) -> None:
        now = self._clock.monotonic()
        for job in progress.jobs:
            self._policy.hedge.observe(now - job.queued_at)
        progress.end()
        self._open.remove(progress)
        self._ended.append(progress)
        if progress.answer is None and progress.reason in SNAPSHOT_REASONS:
            self._restart_snapshot = self._find_restart_snapshot()
        if not progress.is_complete:
            reachable_coverage = max_coverage_fraction(
                self._snapshot,
                self._ended,
                [*self._open, *self._deferred],
            )
            tolerated = self._policy.document.tolerated_coverage
            self._is_out_of_reach = reachable_coverage < tolerated

    def _abandon_open_parts(self) -> None:
        reason = MissingReason.GIVEN_UP
        if self._clock.monotonic() >= self._query.deadline:
            reason = MissingReason.DEADLINE
        for progress in self._open:
            self._may_have_run |= bool(progress.jobs)
            progress.reason = reason
            progress.end()
        self._ended += self._open
        self._open = []
