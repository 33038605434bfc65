"""Canary, strikes and quarantine on several VMs against a simple oracle."""

import itertools
from collections import Counter
from functools import partial

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from basilwall.parts.quarantine import ENTRY_TTL_SECONDS, Suspicion
from basilwall.query.crashing_world_test import (
    CONTENT_BY_BODY,
    CRASHING,
    INNOCENT,
    PART_BY_SEARCHER,
    REPLICAS,
    RESTART_SECONDS,
    VMS,
    World,
)

#: At most two unrelated failures of searchers or zones occur in this time.
ACCIDENT_INTERVAL_SECONDS = 10

vms = st.integers(0, VMS - 1)
affected_queries = st.sets(
    st.tuples(vms, st.sampled_from(INNOCENT)), max_size=3
)


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
