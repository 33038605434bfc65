"""One query on its way: an attempt for each part, gathered as they end.

The thread of the caller's request runs this straight down: it sends, waits
for the next outcome or the next hedge, and returns as soon as nothing better
can come of waiting.
"""

from basilwall.backend.pool import AttemptJob
from basilwall.backend.pools import SearcherPools
from basilwall.backend.rules import RULE_BY_KIND_AND_TAG
from basilwall.parts.clock import Clock
from basilwall.query.inbox import Event, Inbox
from basilwall.query.policy import ServicePolicy
from basilwall.query.progress import (
    Gathered,
    PartProgress,
    Query,
    attempt_at,
    gather,
)
from basilwall.query.watch import ContentWatch
from basilwall.records.answer import MissingReason
from basilwall.records.attempt import (
    Answered,
    AttemptOutcome,
    MayHaveRun,
    OutcomeTag,
    RequestKind,
)
from basilwall.records.catalogue import Snapshot


class Scatter:
    """One query over the parts of one snapshot."""

    def __init__(
        self,
        query: Query,
        snapshot: Snapshot,
        policy: ServicePolicy,
        pools: SearcherPools,
        clock: Clock,
        watch: ContentWatch,
    ) -> None:
        self._query = query
        self._snapshot = snapshot
        self._policy = policy
        self._pools = pools
        self._clock = clock
        self._inbox = Inbox()
        self._progress_by_job: dict[AttemptJob, PartProgress] = {}
        self._open: list[PartProgress] = []
        self._ended: list[PartProgress] = []
        self._deferred: list[PartProgress] = []
        self._watch = watch
        self._may_have_run = watch.tried.may_have_run
        self._attempts = watch.tried.attempts

    def run(self) -> Gathered:
        """Send to every part and gather until nothing more can come.

        Returns:
            All that was gathered, at the deadline at the latest.
        """
        self._send_first()
        while self._open or self._resume():
            now = self._clock.monotonic()
            event = self._next_event(now)
            if event is None and now >= self._query.deadline:
                break
            if event is None:
                self._hedge(self._clock.monotonic())
            else:
                self._take(*event)
        self._give_up_open()
        self._ended.extend(self._deferred)
        return gather(
            self._snapshot,
            self._ended,
            self._attempts,
            self._may_have_run,
        )

    def _send_first(self) -> None:
        hedge_at = self._clock.monotonic() + self._policy.hedge.delay
        self._policy.budget.earn(len(self._snapshot.parts))
        for part in self._snapshot.parts:
            progress = PartProgress(part, hedge_at)
            progress.answer = self._watch.answer_of(part)
            if progress.answer is None and self._send(progress):
                self._open.append(progress)
            else:
                self._ended.append(progress)

    def _send(self, progress: PartProgress) -> bool:
        pool = self._pools.pick(progress.part, progress.tried)
        if pool is None:
            return False
        self._attempts += 1
        request = attempt_at(
            self._query,
            self._snapshot,
            progress.part,
            self._attempts,
        )
        job = AttemptJob(request, self._inbox.put)
        progress.tried.add(pool.address)
        progress.jobs.append(job)
        self._progress_by_job[job] = progress
        pool.submit(job)
        return True

    def _next_event(self, now: float) -> Event | None:
        due = min(progress.hedge_at for progress in self._open)
        wait = min(due, self._query.deadline) - now
        return self._inbox.take(len(self._open), wait)

    def _hedge(self, now: float) -> None:
        for progress in self._open:
            if progress.hedge_at > now:
                continue
            progress.hedge_at = self._query.deadline
            if self._watch.is_suspect:
                continue
            untried = len(progress.tried) < len(progress.part.searchers)
            if untried and self._policy.budget.spend():
                self._send(progress)

    def _take(self, job: AttemptJob, outcome: AttemptOutcome) -> None:
        progress = self._progress_by_job.pop(job)
        progress.jobs.remove(job)
        self._may_have_run |= isinstance(outcome, Answered | MayHaveRun)
        self._watch.saw(progress.part, job, outcome)
        if progress.answer is not None:
            return
        if isinstance(outcome, Answered):
            self._take_answer(progress, job, outcome)
        else:
            self._take_failure(progress, outcome)

    def _take_answer(
        self,
        progress: PartProgress,
        job: AttemptJob,
        answer: Answered,
    ) -> None:
        self._policy.hedge.observe(job.ended_at - job.sent_at)
        if answer.snapshot != self._snapshot.snapshot_id:
            progress.reason = MissingReason.WRONG_SNAPSHOT
            self._try_again(progress)
            return
        progress.answer = answer
        self._end(progress)

    def _take_failure(
        self,
        progress: PartProgress,
        outcome: AttemptOutcome,
    ) -> None:
        rule = RULE_BY_KIND_AND_TAG[RequestKind.IDEMPOTENT, outcome.tag]
        progress.reason = rule.missing
        if rule.again:
            # What was not sent put no load on a searcher.
            is_free = outcome.tag is OutcomeTag.NOT_SENT
            self._try_again(progress, is_free=is_free)
        elif not progress.jobs:
            self._end(progress)

    def _try_again(
        self,
        progress: PartProgress,
        *,
        is_free: bool = False,
    ) -> None:
        if progress.jobs:
            return
        if self._watch.is_suspect:
            self._open.remove(progress)
            self._deferred.append(progress)
            return
        may_send = is_free or self._policy.budget.spend()
        if not may_send or not self._send(progress):
            self._end(progress)

    def _resume(self) -> bool:
        """Send one deferred part, alone; False if there is none to send."""
        while self._deferred:
            progress = self._deferred.pop()
            progress.hedge_at = self._query.deadline
            if self._watch.may_run and self._send(progress):
                self._open.append(progress)
                return True
            self._ended.append(progress)
        return False

    def _end(self, progress: PartProgress) -> None:
        self._open.remove(progress)
        self._ended.append(progress)
        for job in progress.jobs:
            job.cancel()

    def _give_up_open(self) -> None:
        for progress in tuple(self._open):
            self._may_have_run = True
            progress.reason = MissingReason.DEADLINE
            self._end(progress)
