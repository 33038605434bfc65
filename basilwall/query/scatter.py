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
from basilwall.query.patience import Patience
from basilwall.query.policy import ServicePolicy
from basilwall.query.progress import Gathered, PartProgress, Query, gather
from basilwall.records.answer import MissingReason
from basilwall.records.attempt import (
    Answered,
    AttemptOutcome,
    AttemptRequest,
    MayHaveRun,
    RequestKind,
)
from basilwall.records.catalogue import Part, Snapshot
from basilwall.records.ids import (
    AttemptId,
)


class Scatter:
    """One query over the parts of one snapshot."""

    def __init__(
        self,
        query: Query,
        snapshot: Snapshot,
        policy: ServicePolicy,
        pools: SearcherPools,
        clock: Clock,
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
        self._may_have_run = False
        self._attempts = 0
        self._patience = Patience(
            policy,
            clock.monotonic(),
            query.deadline,
            len(snapshot.parts),
        )

    def run(self) -> Gathered:
        """Send to every part and gather until nothing more can come.

        Returns:
            All that was gathered, at the deadline at the latest.
        """
        self._send_first()
        while self._open:
            now = self._clock.monotonic()
            event = self._next_event(now)
            if event is None and now >= self._patience.ends_at:
                break
            if event is None:
                self._hedge(self._clock.monotonic())
            else:
                self._take(*event)
        self._give_up_open()
        return gather(
            self._snapshot,
            self._ended,
            self._attempts,
            self._may_have_run,
            self._patience.half_wait(self._clock.monotonic()),
        )

    def _send_first(self) -> None:
        hedge_at = self._patience.first_hedge_at
        self._policy.budget.earn(len(self._snapshot.parts))
        for part in self._snapshot.parts:
            progress = PartProgress(part, hedge_at)
            if self._send(progress):
                self._open.append(progress)
            else:
                self._ended.append(progress)

    def _send(self, progress: PartProgress) -> bool:
        pool = self._pools.pick(progress.part, progress.tried)
        if pool is None:
            return False
        self._attempts += 1
        job = AttemptJob(self._request(progress.part), self._inbox.put)
        progress.tried.add(pool.address)
        progress.jobs.append(job)
        self._progress_by_job[job] = progress
        pool.submit(job)
        return True

    def _request(self, part: Part) -> AttemptRequest:
        number = self._attempts
        return AttemptRequest(
            service=self._query.service,
            instance=part.instance,
            kind=RequestKind.IDEMPOTENT,
            request_id=self._query.request_id,
            attempt_id=AttemptId(f'{self._query.request_id}.{number}'),
            snapshot=self._snapshot.snapshot_id,
            body=self._query.body,
            deadline=self._query.deadline,
        )

    def _next_event(self, now: float) -> Event | None:
        due = min(progress.hedge_at for progress in self._open)
        wait = min(due, self._patience.ends_at) - now
        awaited = min(len(self._open), self._patience.awaited)
        return self._inbox.take(awaited, wait)

    def _hedge(self, now: float) -> None:
        for progress in self._open:
            if progress.hedge_at > now:
                continue
            progress.hedge_at = self._patience.next_hedge_at(now)
            untried = len(progress.tried) < len(progress.part.searchers)
            if untried and self._policy.budget.spend():
                self._send(progress)

    def _take(self, job: AttemptJob, outcome: AttemptOutcome) -> None:
        progress = self._progress_by_job.pop(job)
        progress.jobs.remove(job)
        self._may_have_run |= isinstance(outcome, Answered | MayHaveRun)
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
        self._policy.hedge.observe(job.ended_at - job.queued_at)
        if answer.snapshot != self._snapshot.snapshot_id:
            progress.reason = MissingReason.WRONG_SNAPSHOT
            self._try_again(progress)
            return
        progress.answer = answer
        self._patience.note_answer(job.ended_at, answer)
        self._end(progress)

    def _take_failure(
        self,
        progress: PartProgress,
        outcome: AttemptOutcome,
    ) -> None:
        rule = RULE_BY_KIND_AND_TAG[RequestKind.IDEMPOTENT, outcome.tag]
        progress.reason = rule.missing
        if rule.again:
            self._try_again(progress)
        elif not progress.jobs:
            self._end(progress)

    def _try_again(self, progress: PartProgress) -> None:
        if progress.jobs:
            return
        if not self._policy.budget.spend() or not self._send(progress):
            self._end(progress)

    def _end(self, progress: PartProgress) -> None:
        self._open.remove(progress)
        self._ended.append(progress)
        now = self._clock.monotonic()
        for job in progress.jobs:
            self._policy.hedge.observe(now - job.queued_at)
            job.cancel()

    def _give_up_open(self) -> None:
        for progress in tuple(self._open):
            self._may_have_run = True
            progress.reason = MissingReason.DEADLINE
            self._end(progress)
