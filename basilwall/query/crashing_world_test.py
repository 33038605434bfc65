"""Searchers that contents crash, and the VMs that judge the contents.

The oracle knows which contents crash searchers and counts the searchers that
each content crashed. The code between is real; searchers, probes and tasks
are fakes that act immediately.
"""

import random
from collections import Counter, defaultdict
from contextlib import contextmanager
from types import SimpleNamespace

from basilwall.backend.crash_tracker import (
    REFUSED_SUSPICIONS,
    Content,
    CrashTracker,
)
from basilwall.backend.loss_classifier import LossClassifier
from basilwall.backend.pool import AttemptJob
from basilwall.configuration.state import PlatformState
from basilwall.document.model import Document
from basilwall.parts.attempt_ids import AttemptIds
from basilwall.parts.clock import ManualClock
from basilwall.parts.fingerprints import fingerprint
from basilwall.parts.quarantine import Quarantine
from basilwall.parts.replica_choice import LatencyEstimate
from basilwall.parts.served_snapshots import ServedSnapshots
from basilwall.query.canary import Canary, CanaryResult
from basilwall.query.policy import make_policy
from basilwall.query.progress import Query
from basilwall.query.sending import Backends
from basilwall.records.answer import MissingReason
from basilwall.records.attempt import Answered, MayHaveRun, NotRun, OutcomeTag
from basilwall.records.catalogue import Catalogue, Part, Snapshot

PARTS = 10
REPLICAS = 3
VMS = 3
SERVICE = 'service'
SNAPSHOT = Snapshot(
    's1',
    tuple(
        Part(
            f'part-{part}',
            tuple(f'{part}:{replica}' for replica in range(REPLICAS)),
        )
        for part in range(PARTS)
    ),
)
PART_BY_SEARCHER = {
    searcher: part for part in SNAPSHOT.parts for searcher in part.searchers
}
CRASHING = (b'"crash-0"', b'"crash-1"')
INNOCENT = tuple(b'"innocent-%d"' % number for number in range(4))
CONTENT_BY_BODY = {
    body: Content(SERVICE, fingerprint(SERVICE, 'query', body))
    for body in CRASHING + INNOCENT
}
RESTART_SECONDS = 0.5
POLICY = make_policy(Document(service=SERVICE))


class Tasks:
    """Runs tasks immediately, or collects them while `deferred` is a list."""

    def __init__(self):
        self.deferred = None
        self.stopping = SimpleNamespace(wait=self.wait)
        #: Called whenever a task waits.
        self.on_wait = dict

    def wait(self, _):
        self.on_wait()

    def start(self, task):
        if self.deferred is None:
            task()
        else:
            self.deferred.append(task)


class FakePool:
    """Connections of one VM to one searcher."""

    def __init__(self, world, address):
        self.world = world
        self.address = address
        self.estimate = LatencyEstimate(world.clock)

    @property
    def is_reachable(self):
        return self.world.is_alive(self.address)

    def submit(self, job):
        job.sent_at = self.world.clock.monotonic()
        job.deliver(job, self.world.run(self.address, job.request.body))


class FakePools:
    """Connection pools of all searchers."""

    def __init__(self, world):
        self.world = world

    def pick(self, part, tried):
        untried = [
            searcher for searcher in part.searchers if searcher not in tried
        ]
        return FakePool(self.world, untried[0]) if untried else None


class World:
    """Searchers and VMs, with the oracle's count of crashes by content."""

    def __init__(self):
        self.clock = ManualClock()
        self.dead_until = dict.fromkeys(PART_BY_SEARCHER, 0)
        self.losses_by_body = defaultdict(list)
        self.last_crash = dict.fromkeys(CRASHING, 0)
        self.sender = 0
        self.concurrent_queries = set()
        self.tasks = Tasks()
        self.loss_classifiers = []
        self.vms = []
        for number in range(VMS):
            state = PlatformState()
            state.catalogue_by_service[SERVICE] = Catalogue(
                SERVICE,
                (SNAPSHOT,),
            )
            quarantine = Quarantine(self.clock)
            loss_classifier = LossClassifier(
                state.searchers,
                self.clock,
                random.Random(number),
                self.find_dead,
            )
            self.loss_classifiers.append(loss_classifier)
            crash_tracker = CrashTracker(
                quarantine,
                loss_classifier,
                self.tasks,
                self.clock,
                f'vm-{number}',
            )
            self.vms.append((quarantine, crash_tracker))

    def is_alive(self, searcher):
        return self.dead_until[searcher] <= self.clock.monotonic()

    def find_dead(self, addresses, window):
        dead = {address for address in addresses if not self.is_alive(address)}
        if self.tasks.deferred is None:
            self.clock.advance(window)
        return dead

    @contextmanager
    def simultaneous_losses(self):
        """Classify all losses of a `with` block after its end."""
        self.tasks.deferred = []
        yield
        for task in self.tasks.deferred:
            task()
        self.tasks.deferred = None

    def kill(self, searchers):
        for searcher in searchers:
            self.dead_until[searcher] = self.clock.monotonic() + RESTART_SECONDS

    def run(self, searcher, body):
        if not self.is_alive(searcher):
            return NotRun(searcher, OutcomeTag.NOT_SENT)
        if body not in CRASHING:
            return Answered(searcher, 's1', b'[]', 1, 1)
        self.kill([searcher])
        self.losses_by_body[body].append((self.sender, searcher))
        self.last_crash[body] = self.clock.monotonic()
        affected, self.concurrent_queries = self.concurrent_queries, set()
        sender = self.sender
        with self.simultaneous_losses():
            for vm, innocent in affected:
                self.report_loss(vm, innocent, searcher)
        self.resend_alone(affected)
        self.concurrent_queries, self.sender = affected, sender
        return MayHaveRun(searcher, OutcomeTag.LOST)

    def report_loss(self, vm, body, searcher):
        self.vms[vm][1].note_outcome(
            CONTENT_BY_BODY[body],
            PART_BY_SEARCHER[searcher],
            AttemptJob(None, None),
            MayHaveRun(searcher, OutcomeTag.LOST),
        )

    def share_strikes(self, sender, receiver):
        quarantine, _ = self.vms[sender]
        for entry in quarantine.entries():
            self.vms[receiver][0].strike(
                entry.fingerprint,
                quarantine.aged_strikes(entry),
                quarantine.seconds_left(entry.fingerprint),
            )

    def resend_alone(self, affected):
        """Send queries that lost a searcher again; they must be answered."""
        for vm, body in affected:
            assert self.send(vm, body) or not self.can_answer()

    def is_known_good(self, vm, body):
        return self.vms[vm][1].is_known_good(CONTENT_BY_BODY[body], 's1')

    def has_spare_replicas_without(self, leaving):
        """Return whether each part keeps at least two live replicas."""
        alive = filter(self.is_alive, self.dead_until)
        replicas_by_part = Counter(
            searcher.split(':')[0]
            for searcher in alive
            if searcher not in leaving
        )
        return (
            len(replicas_by_part) == PARTS
            and min(replicas_by_part.values()) >= REPLICAS - 1
        )

    def answer_other_contents(self):
        """Record an answer of every live searcher to other contents."""
        for searcher in filter(self.is_alive, PART_BY_SEARCHER):
            for loss_classifier in self.loss_classifiers:
                loss_classifier.note_alive(searcher)

    def can_answer(self):
        return any(map(self.is_alive, self.dead_until))

    def send(self, vm, body):
        """Run a query as the runner does; return whether it was answered."""
        crash_tracker, content = self.vms[vm][1], CONTENT_BY_BODY[body]
        self.sender = vm
        deadline = self.clock.monotonic() + 1
        query = Query('q', SERVICE, body, deadline)
        canary = Canary(
            query,
            SNAPSHOT,
            POLICY,
            Backends(
                FakePools(self),
                ServedSnapshots(self.clock),
                AttemptIds('test'),
                self.clock,
            ),
            crash_tracker,
            lambda: None,
            pause_seconds=0,
        )
        was_answered = crash_tracker.is_known_good(content, 's1')
        result = (
            CanaryResult(has_passed=True)
            if was_answered
            else canary.run(content)
        )
        if result.has_passed:
            assert body not in CRASHING, 'crashing content passed the canary'
            return True
        if body in INNOCENT:
            strikes = self.vms[vm][0].entries()
            assert (
                crash_tracker.suspicion_of(content) not in REFUSED_SUSPICIONS
            ), strikes
            assert result.reason is MissingReason.NO_SEARCHER
        return False
