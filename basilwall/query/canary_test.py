"""Canary, strikes and quarantine on several VMs against a simple oracle.

The oracle knows which contents crash searchers and counts the searchers that
each content crashed. The code between is real; searchers, probes and tasks
are fakes that act immediately.
"""

import itertools
import random
from collections import Counter, defaultdict
from contextlib import contextmanager
from functools import partial
from types import SimpleNamespace

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

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
from basilwall.parts.quarantine import ENTRY_TTL_SECONDS, Quarantine, Suspicion
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
#: At most two unrelated failures of searchers or zones occur in this time.
ACCIDENT_INTERVAL_SECONDS = 10
POLICY = make_policy(Document(service=SERVICE))

vms = st.integers(0, VMS - 1)
affected_queries = st.sets(
    st.tuples(vms, st.sampled_from(INNOCENT)), max_size=3
)


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


def test_an_outage_that_goes_on_after_the_first_loss_blames_no_content():
    world = World()
    first, *others = PART_BY_SEARCHER
    body = next(iter(CONTENT_BY_BODY))
    world.tasks.on_wait = partial(world.kill, others)
    for _ in range(2):
        world.kill([first])
        world.report_loss(0, body, first)
        world.clock.advance(2 * RESTART_SECONDS)
        world.answer_other_contents()
    suspicion = world.vms[0][1].suspicion_of(CONTENT_BY_BODY[body])
    assert suspicion is Suspicion.NONE


def test_searchers_crashed_by_a_content_are_no_sign_of_outage():
    world = World()
    victims = ['0:0', '1:0', '2:0']
    world.kill(victims)
    with world.simultaneous_losses():
        for searcher in victims:
            world.report_loss(0, CRASHING[0], searcher)
    content = CONTENT_BY_BODY[CRASHING[0]]
    assert world.vms[0][1].suspicion_of(content) is Suspicion.QUARANTINED


class Crashes(RuleBasedStateMachine):
    """Generates requests, searcher deaths and exchanges of strikes."""

    def __init__(self):
        super().__init__()
        self.world = World()
        self.is_shared_at_once = False
        self.accidents = []

    @rule(vm=vms, body=st.sampled_from(CRASHING), affected=affected_queries)
    def send_crashing(self, vm, body, affected):
        self.world.concurrent_queries = affected
        assert not self.world.send(vm, body)
        self.world.concurrent_queries = set()

    @rule(vm=vms, body=st.sampled_from(INNOCENT))
    def send_innocent(self, vm, body):
        assert self.world.send(vm, body) or not self.world.can_answer()

    @rule(
        searcher=st.sampled_from(sorted(PART_BY_SEARCHER)),
        affected=affected_queries,
    )
    def kill_searcher(self, searcher, affected):
        self._kill([searcher], affected)

    @rule(zone=st.integers(0, REPLICAS - 1), affected=affected_queries)
    def cut_zone(self, zone, affected):
        zone_searchers = [
            searcher
            for searcher in PART_BY_SEARCHER
            if searcher.endswith(f':{zone}')
        ]
        self._kill(zone_searchers, affected)

    def _kill(self, searchers, affected):
        """Kill searchers, at most twice within the accident interval."""
        alive = [
            searcher for searcher in searchers if self.world.is_alive(searcher)
        ]
        now = self.world.clock.monotonic()
        recent_count = sum(
            now - accident_at < ACCIDENT_INTERVAL_SECONDS
            for accident_at in self.accidents
        )
        if recent_count >= 2 or not self.world.has_spare_replicas_without(
            alive
        ):
            return
        self.accidents.append(now)
        self.world.answer_other_contents()
        self.world.kill(alive)
        with self.world.simultaneous_losses():
            for vm, body in affected if alive else ():
                was_answered = self.world.is_known_good(vm, body)
                for searcher in alive if was_answered else alive[:1]:
                    self.world.report_loss(vm, body, searcher)
        self.world.resend_alone(affected if alive else ())

    @rule(sender=vms, receiver=vms)
    def share_strikes(self, sender, receiver):
        self.world.share_strikes(sender, receiver)

    @rule(
        seconds=st.sampled_from(
            (0.1, RESTART_SECONDS, 5, ENTRY_TTL_SECONDS / 2)
        )
    )
    def advance_time(self, seconds):
        world = self.world
        world.clock.advance(seconds)
        world.answer_other_contents()
        now = world.clock.monotonic()
        for body in CRASHING:
            if now - world.last_crash[body] > ENTRY_TTL_SECONDS:
                world.losses_by_body[body] = []

    @initialize(at_once=st.booleans())
    def choose(self, at_once):
        self.is_shared_at_once = at_once

    @invariant()
    def check(self):
        if self.is_shared_at_once:
            for sender, receiver in itertools.permutations(range(VMS), 2):
                self.world.share_strikes(sender, receiver)
        for losses in self.world.losses_by_body.values():
            by_vm = Counter(vm for vm, _ in losses)
            limit = 2 + len(self.accidents)
            if self.is_shared_at_once:
                assert len(losses) <= limit, losses
            assert max(by_vm.values(), default=0) <= 2 + limit, losses


TestCrashes = Crashes.TestCase
TestCrashes.settings = settings(
    max_examples=60,
    stateful_step_count=30,
    deadline=None,
)
