"""Canary, strikes and quarantine of several VMs against a simple oracle.

The oracle knows which contents crash searchers, and counts the searchers
that each of them took. Everything between is the real code; searchers,
probes and tasks are fakes that act at once.
"""

import itertools
import random
from collections import Counter, defaultdict
from contextlib import contextmanager

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
        Part(f'part-{part}', tuple(f'{part}:{one}' for one in range(REPLICAS)))
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
#: No third zone or searcher dies of itself within this time, in seconds.
ACCIDENT_INTERVAL_SECONDS = 10
POLICY = make_policy(Document(service=SERVICE))

vms = st.integers(0, VMS - 1)
beside = st.sets(st.tuples(vms, st.sampled_from(INNOCENT)), max_size=3)


class Tasks:
    """Runs tasks at once, or those of one moment after it."""

    def __init__(self):
        self.deferred = None

    def start(self, task):
        if self.deferred is None:
            task()
        else:
            self.deferred.append(task)


class FakePool:
    """One VM's connections to one searcher of the world."""

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
    """All searchers of the world."""

    def __init__(self, world):
        self.world = world

    def pick(self, part, tried):
        left = [one for one in part.searchers if one not in tried]
        return FakePool(self.world, left[0]) if left else None


class World:
    """The searchers, and the oracle's count of what crashed them."""

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
            bystanders = LossClassifier(
                state.searchers,
                self.clock,
                random.Random(number),
                self.find_dead,
            )
            self.loss_classifiers.append(bystanders)
            suspects = CrashTracker(
                quarantine,
                bystanders,
                self.tasks,
                self.clock,
                f'vm-{number}',
            )
            self.vms.append((quarantine, suspects))

    def is_alive(self, searcher):
        return self.dead_until[searcher] <= self.clock.monotonic()

    def find_dead(self, addresses, window):
        dead = {one for one in addresses if not self.is_alive(one)}
        if self.tasks.deferred is None:
            self.clock.advance(window)
        return dead

    @contextmanager
    def simultaneous_losses(self):
        """Let losses come together, and be inquired into together."""
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
        beside, self.concurrent_queries = self.concurrent_queries, set()
        sender = self.sender
        with self.simultaneous_losses():
            for vm, innocent in beside:
                self.report_loss(vm, innocent, searcher)
        self.resend_alone(beside)
        self.concurrent_queries, self.sender = beside, sender
        return MayHaveRun(searcher, OutcomeTag.LOST)

    def report_loss(self, vm, body, searcher):
        self.vms[vm][1].note_outcome(
            CONTENT_BY_BODY[body],
            PART_BY_SEARCHER[searcher],
            AttemptJob(None, None),
            MayHaveRun(searcher, OutcomeTag.LOST),
        )

    def share_strikes(self, teller, hearer):
        source, _ = self.vms[teller]
        for entry in source.entries():
            self.vms[hearer][0].strike(
                entry.fingerprint,
                entry.strikes,
                source.seconds_left(entry.fingerprint),
            )

    def resend_alone(self, around):
        """Let queries that lost a searcher go on alone, as they do."""
        for vm, body in around:
            assert self.send(vm, body) or not self.can_answer()

    def is_known_good(self, vm, body):
        return self.vms[vm][1].is_known_good(CONTENT_BY_BODY[body], 's1')

    def has_spare_replicas_without(self, leaving):
        """Return whether each part keeps two replicas, one to spare."""
        alive = filter(self.is_alive, self.dead_until)
        left = Counter(one.split(':')[0] for one in alive if one not in leaving)
        return len(left) == PARTS and min(left.values()) >= REPLICAS - 1

    def answer_other_contents(self):
        """Let queries of other contents be answered by all that live."""
        for answering in filter(self.is_alive, PART_BY_SEARCHER):
            for bystanders in self.loss_classifiers:
                bystanders.note_alive(answering)

    def can_answer(self):
        return any(map(self.is_alive, self.dead_until))

    def send(self, vm, body):
        """Run a query as the runner does; True if it was answered."""
        suspects, content = self.vms[vm][1], CONTENT_BY_BODY[body]
        self.sender = vm
        deadline = self.clock.monotonic() + 1
        query = Query('q', SERVICE, body, deadline)
        alone = Canary(
            query,
            SNAPSHOT,
            POLICY,
            Backends(
                FakePools(self),
                ServedSnapshots(self.clock),
                AttemptIds('test'),
                self.clock,
            ),
            suspects,
            lambda: None,
            pause_seconds=0,
        )
        known = suspects.is_known_good(content, 's1')
        tried = CanaryResult(has_passed=True) if known else alone.run(content)
        if tried.has_passed:
            assert body not in CRASHING, 'it would go to every part'
            return True
        if body in INNOCENT:
            strikes = self.vms[vm][0].entries()
            assert suspects.suspicion_of(content) not in REFUSED_SUSPICIONS, (
                strikes
            )
            assert tried.reason is MissingReason.NO_SEARCHER
        return False


def test_own_victims_do_not_speak_for_a_content():
    world = World()
    victims = ['0:0', '1:0', '2:0']
    world.kill(victims)
    with world.simultaneous_losses():
        for searcher in victims:
            world.report_loss(0, CRASHING[0], searcher)
    content = CONTENT_BY_BODY[CRASHING[0]]
    assert world.vms[0][1].suspicion_of(content) is Suspicion.QUARANTINED


class Crashes(RuleBasedStateMachine):
    """Draws requests, deaths and what VMs tell each other."""

    def __init__(self):
        super().__init__()
        self.world = World()
        self.at_once = False
        self.accidents = []

    @rule(vm=vms, body=st.sampled_from(CRASHING), around=beside)
    def send_crashing(self, vm, body, around):
        self.world.concurrent_queries = around
        assert not self.world.send(vm, body)
        self.world.concurrent_queries = set()

    @rule(vm=vms, body=st.sampled_from(INNOCENT))
    def send_innocent(self, vm, body):
        assert self.world.send(vm, body) or not self.world.can_answer()

    @rule(searcher=st.sampled_from(sorted(PART_BY_SEARCHER)), around=beside)
    def searcher_dies_of_itself(self, searcher, around):
        self._die([searcher], around)

    @rule(zone=st.integers(0, REPLICAS - 1), around=beside)
    def zone_is_cut(self, zone, around):
        cut = [one for one in PART_BY_SEARCHER if one.endswith(f':{zone}')]
        self._die(cut, around)

    def _die(self, searchers, around):
        """Let searchers die; twice at once, and not more often."""
        alive = [one for one in searchers if self.world.is_alive(one)]
        now = self.world.clock.monotonic()
        lately = sum(
            now - then < ACCIDENT_INTERVAL_SECONDS for then in self.accidents
        )
        if lately >= 2 or not self.world.has_spare_replicas_without(alive):
            return
        self.accidents.append(now)
        self.world.answer_other_contents()
        self.world.kill(alive)
        with self.world.simultaneous_losses():
            for vm, body in around if alive else ():
                known = self.world.is_known_good(vm, body)
                for searcher in alive if known else alive[:1]:
                    self.world.report_loss(vm, body, searcher)
        self.world.resend_alone(around if alive else ())

    @rule(teller=vms, hearer=vms)
    def share_strikes(self, teller, hearer):
        self.world.share_strikes(teller, hearer)

    @rule(
        seconds=st.sampled_from(
            (0.1, RESTART_SECONDS, 5, ENTRY_TTL_SECONDS / 2)
        )
    )
    def time_passes(self, seconds):
        world = self.world
        world.clock.advance(seconds)
        world.answer_other_contents()
        now = world.clock.monotonic()
        for body in CRASHING:
            if now - world.last_crash[body] > ENTRY_TTL_SECONDS:
                world.losses_by_body[body] = []

    @initialize(at_once=st.booleans())
    def choose(self, at_once):
        self.at_once = at_once

    @invariant()
    def check(self):
        if self.at_once:
            for teller, hearer in itertools.permutations(range(VMS), 2):
                self.world.share_strikes(teller, hearer)
        for taken in self.world.losses_by_body.values():
            by_vm = Counter(vm for vm, _ in taken)
            limit = 2 + len(self.accidents)
            if self.at_once:
                assert len(taken) <= limit, taken
            assert max(by_vm.values(), default=0) <= 2 + limit, taken


TestCrashes = Crashes.TestCase
TestCrashes.settings = settings(
    max_examples=60,
    stateful_step_count=30,
    deadline=None,
)
