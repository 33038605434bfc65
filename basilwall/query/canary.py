"""Ask one searcher before all: a request that crashes it stops there.

A content that nobody here has seen answered goes to one searcher first, and
to every part only once that one has answered (Dean and Barroso, The Tail at
Scale, 2013). All VMs choose the same searcher for a content, so callers that
send it through many VMs at once lose one searcher and not one for each VM.
"""

import time
from dataclasses import dataclass, field

from basilwall.backend.pool import AttemptJob
from basilwall.backend.rules import RULE_BY_KIND_AND_TAG
from basilwall.backend.suspects import REFUSED, Content, Suspects
from basilwall.parts.quarantine import Suspicion
from basilwall.query.candidates import Candidate, choose_alone
from basilwall.query.inbox import Event
from basilwall.query.policy import ServicePolicy
from basilwall.query.progress import Query
from basilwall.query.sending import Backends, Better, Sender
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
MAX_LOST = 2
#: Peers are asked why the chosen searcher is gone, and given this time to
#: answer, in seconds.
PAUSE_AFTER_REFUSED = 0.02
#: A searcher slower than this many hedge delays is asked alone last.
SLOW_DELAYS = 1


@dataclass(slots=True)
class Tried:
    """What came of asking single searchers.

    `passed` is True once the whole service may be asked.
    """

    answer_by_instance: dict[InstanceName, Answered] = field(
        default_factory=dict,
    )
    searchers: set[SearcherAddress] = field(default_factory=set)
    attempts: int = 0
    lost: int = 0
    may_have_run: bool = False
    ran_well: bool = False
    over: bool = False
    passed: bool = False
    stopped_for: Snapshot | None = None
    reason: MissingReason = MissingReason.NO_SEARCHER


class Canary:
    """One query's way through single searchers."""

    def __init__(
        self,
        query: Query,
        snapshot: Snapshot,
        policy: ServicePolicy,
        backends: Backends,
        suspects: Suspects,
        better_snapshot: Better,
        pause: float = PAUSE_AFTER_REFUSED,
    ) -> None:
        self.tried = Tried()
        self._pause = pause
        self._query = query
        self._snapshot = snapshot
        self._policy = policy
        self._pools = backends.pools
        self._suspects = suspects
        self._better_snapshot = better_snapshot
        self._clock = backends.clock
        self._inbox = backends.make_inbox()
        self._sender = Sender(query, snapshot, backends, self._inbox)
        self._part_by_job: dict[AttemptJob, Part] = {}

    def run(self, content: Content) -> Tried:
        """Ask single searchers until one answers.

        A content with strikes is tried at another part first, so that one
        part does not lose two replicas to it. Then each part that lost a
        searcher must answer, since an answer clears its own part only.

        Args:
            content: The content of the query.

        Returns:
            What came of it, at the query's deadline at the latest.
        """
        tried = self.tried
        self._policy.budget.earn()
        while not (tried.over or tried.passed):
            suspicion = self._suspects.verdict(content, self._query.deadline)
            if suspicion in REFUSED:
                return tried
            if tried.ran_well and suspicion is Suspicion.NONE:
                tried.passed = True
            else:
                self._ask_next(content, suspicion)
        return tried

    def _ask_next(self, content: Content, suspicion: Suspicion) -> None:
        candidate = self._next(content)
        if candidate is None:
            self.tried.over = True
            self.tried.passed = self.tried.ran_well
            return
        self._send(candidate)
        may_hedge = suspicion is Suspicion.NONE
        try:
            self._gather(content, may_hedge=may_hedge)
        finally:
            self._cancel()

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
            elif self._take(content, *event):
                return

    def _note_deadline(self) -> None:
        self.tried.over = True
        self.tried.may_have_run = True
        self.tried.reason = MissingReason.DEADLINE

    def _hedge(self, content: Content) -> bool:
        """Ask one more; False if there is none, or the content is suspect."""
        if self._suspects.judge(content) is not Suspicion.NONE:
            return False
        candidate = self._next(content)
        if candidate is None or not self._policy.budget.spend():
            return False
        if len(self._part_by_job) >= MAX_LOST:
            self._cancel_oldest()
        self._send(candidate)
        return True

    def _next(self, content: Content) -> Candidate | None:
        lacking = set().union(
            *map(self._sender.lacking, self._snapshot.parts),
        )
        candidate = self._choose(content, lacking)
        if candidate is None and not self.tried.searchers:
            # What is known of them may be old, so one of them is asked.
            return self._choose(content, set())
        return candidate

    def _choose(
        self,
        content: Content,
        lacking: set[SearcherAddress],
    ) -> Candidate | None:
        parts = self._snapshot.parts
        struck = self._suspects.struck(content)
        under_strike = [part for part in parts if struck & set(part.searchers)]
        untouched = [part for part in parts if part not in under_strike]
        wanted = [under_strike]
        if not self.tried.ran_well:
            wanted.insert(0, untouched)
        for group in wanted:
            candidate = choose_alone(
                content.fingerprint,
                group,
                self._pools,
                struck,
                self.tried.searchers | lacking,
                self._policy.hedge.delay * SLOW_DELAYS,
            )
            if candidate is not None:
                return candidate
        return None

    def _send(self, candidate: Candidate) -> None:
        tried = self.tried
        tried.attempts += 1
        tried.searchers.add(candidate.pool.address)
        job = self._sender.make_job(candidate.part)
        self._part_by_job[job] = candidate.part
        candidate.pool.submit(job)

    def _next_event(self, due: float) -> Event | None:
        wait = max(due - self._clock.monotonic(), 0)
        return self._inbox.take(1, wait)

    def _take(
        self,
        content: Content,
        job: AttemptJob,
        outcome: AttemptOutcome,
    ) -> bool:
        """Take one outcome in; True if the searcher ran it and lives."""
        part = self._part_by_job.pop(job, None)
        if part is None:
            return False
        self._sender.note(outcome)
        self._suspects.saw(content, part, job, outcome)
        tried = self.tried
        tried.may_have_run |= isinstance(outcome, Answered | MayHaveRun)
        if not isinstance(outcome, Answered):
            self._take_failure(outcome)
            return False
        self._policy.hedge.observe(job.ended_at - job.sent_at)
        tried.ran_well = True
        if outcome.snapshot == self._snapshot.snapshot_id:
            tried.answer_by_instance[part.instance] = outcome
        return True

    def _take_failure(self, outcome: NotRun | MayHaveRun) -> None:
        rule = RULE_BY_KIND_AND_TAG[RequestKind.IDEMPOTENT, outcome.tag]
        self.tried.reason = rule.missing
        self.tried.lost += outcome.tag is OutcomeTag.LOST
        self.tried.over |= not rule.again or self.tried.lost >= MAX_LOST
        if outcome.tag is OutcomeTag.SHED and not self._part_by_job:
            self.tried.over |= not self._policy.budget.spend()
        if outcome.tag is OutcomeTag.WRONG_SNAPSHOT:
            self.tried.stopped_for = self._better_snapshot()
            self.tried.over |= self.tried.stopped_for is not None
        if outcome.tag is OutcomeTag.NOT_SENT:
            self._suspects.tell()
            time.sleep(self._pause)

    def _cancel_oldest(self) -> None:
        """Let no more searchers run a content at once than may be lost."""
        oldest = next(iter(self._part_by_job))
        self._part_by_job.pop(oldest)
        self.tried.may_have_run = True
        oldest.cancel()

    def _cancel(self) -> None:
        for job in self._part_by_job:
            job.cancel()
        self._part_by_job = {}
