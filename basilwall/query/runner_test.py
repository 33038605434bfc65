"""Queries over faulty searchers, checked against the records they hold."""

import json
from functools import partial
from itertools import chain

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from basilwall.document.model import Document
from basilwall.query.fakes_test import SERVICE, Searcher, World, make_snapshot
from basilwall.records.answer import MissingReason, QueryAnswer, RefusalReason
from basilwall.records.catalogue import Snapshot

ADDRESSES = [f'127.0.0.1:{port}' for port in range(1, 10)]
MODES = (
    'normal',
    'late',
    'silent',
    'cut',
    'doubled',
    'swapped',
    'older',
    'partial',
    'empty',
    'shed',
    'mute',
)
addresses = st.sampled_from(ADDRESSES)
some_addresses = st.sets(addresses, min_size=1)
delays = st.sampled_from([0, 0.001, 0.003, 0.02])


def make_world(serves=('s1',), searchers=ADDRESSES):
    world = World({address: Searcher(list(serves)) for address in searchers})
    world.publish(make_snapshot('s1', 3, ADDRESSES))
    return world


def ask(world, timeout=0.1, **document):
    return world.ask('me', Document(service=SERVICE, **document), timeout)


def check_answer(answer, parts, token):
    """Check an answer against the partition map of its snapshot."""
    coverage = answer.coverage
    indexes_by_instance = {part.instance: [] for part in parts}
    for snapshot, instance, index, echo in json.loads(answer.records):
        assert (snapshot, echo) == (answer.snapshot, token)
        indexes_by_instance[instance].append(index)
    missing_by_instance = {part.instance: part for part in coverage.missing}
    assert len(missing_by_instance) == len(coverage.missing)
    for part in parts:
        found = indexes_by_instance[part.instance]
        missing = missing_by_instance.pop(part.instance, None)
        assert found == list(range(len(found)))
        lacking = missing.records if missing else 0
        assert len(found) + lacking == part.records
        assert missing is None or not found or missing.is_partial
    assert not missing_by_instance
    assert coverage.total == len(parts)
    assert coverage.answered == len(parts) - len(coverage.missing)
    assert coverage.records_total == sum(part.records for part in parts)
    found_by_all = sum(map(len, indexes_by_instance.values()))
    assert coverage.records_covered == found_by_all
    assert coverage.is_complete == (found_by_all == coverage.records_total)


class Queries(RuleBasedStateMachine):
    """An answer comes from one snapshot and one caller, whatever fails."""

    def __init__(self):
        super().__init__()
        self.world = make_world()
        self.published = [make_snapshot('s1', 3, ADDRESSES)]
        self.parts_by_snapshot = {'s1': self.published[0].parts}
        self.count = 0

    @rule(
        timeout=st.sampled_from([0.01, 0.1, 2]),
        tolerated=st.sampled_from([0, 0.5, 1]),
        extra_load=st.sampled_from([0, 0.5]),
        weighs=st.sampled_from(['tail', 'coverage']),
        others=st.lists(delays, max_size=2),
        modes=st.lists(st.sampled_from(MODES), min_size=9, max_size=9),
    )
    def query(self, timeout, tolerated, extra_load, weighs, others, modes):
        document = Document(
            service=SERVICE,
            tolerated_coverage=tolerated,
            extra_load=extra_load,
            weighs=weighs,
        )

        for address, mode in zip(ADDRESSES, modes, strict=True):
            self.world.by_address[address].mode = mode

        def run_query():
            self._ask(document, timeout)

        for delay in others:
            self.world.schedule(delay, run_query)
        run_query()

    def _ask(self, document, timeout):
        self.count += 1
        token, count = f'caller-{self.count}', self.count
        started = self.world.clock.monotonic()
        outcome = self.world.ask(token, document, timeout)
        # A nested query that ran during this one delays its thread.
        if self.count == count:
            elapsed = self.world.clock.monotonic() - started
            assert elapsed <= timeout + 1e-9
        tolerated = document.tolerated_coverage
        if isinstance(outcome, QueryAnswer):
            parts = self.parts_by_snapshot[outcome.snapshot]
            check_answer(outcome, parts, token)
            assert outcome.coverage.fraction >= tolerated
        else:
            assert outcome.reason is RefusalReason.LOW_COVERAGE
            assert outcome.coverage.fraction < tolerated
            assert outcome.retry_after_ms > 0
            ran = json.dumps(token).encode() in self.world.ran
            assert outcome.ran or not ran
        return outcome

    @precondition(lambda machine: len(machine.parts_by_snapshot) < 5)
    @rule(instances=st.sampled_from([2, 3, 4]), delay=delays)
    def publish(self, instances, delay):
        name = f's{len(self.parts_by_snapshot) + 1}'
        snapshot = make_snapshot(name, instances, ADDRESSES[instances - 2 :])
        self.parts_by_snapshot[name] = snapshot.parts
        self.published = [snapshot, self.published[0]]
        self.world.schedule(delay, lambda: self.world.publish(*self.published))

    @rule(delay=delays)
    def drop_previous(self, delay):
        self.published = self.published[:1]
        self.world.schedule(delay, lambda: self.world.publish(*self.published))

    @rule(chosen=some_addresses, keep=st.booleans(), delay=delays)
    def load_newest(self, chosen, keep, delay):
        newest = self.published[0].snapshot_id

        def load():
            for searcher in map(self.world.by_address.get, chosen):
                kept_snapshots = searcher.serves if keep else []
                searcher.serves = [newest, *kept_snapshots][:2]

        self.world.schedule(delay, load)

    @rule(address=addresses, is_up=st.booleans(), delay=delays)
    def lose(self, address, is_up, delay):
        searcher = self.world.by_address[address]
        self.world.schedule(delay, lambda: setattr(searcher, 'is_up', is_up))

    @rule()
    def recover(self):
        """After recovery, answers are complete and of the newest snapshot."""
        self.world.run_until_idle()
        newest = self.published[0].snapshot_id
        for searcher in self.world.by_address.values():
            searcher.mode, searcher.is_up = 'normal', True
            searcher.serves = [newest]
        self.world.publish(*self.published)
        outcome = self._ask(Document(service=SERVICE), 0.1)
        assert outcome.snapshot == newest
        assert outcome.coverage.is_complete

    @invariant()
    def pools_match_catalogue(self):
        catalogue = self.world.state.catalogue_by_service[SERVICE]
        parts = chain.from_iterable(
            snapshot.parts for snapshot in catalogue.snapshots
        )
        listed = chain.from_iterable(part.searchers for part in parts)
        assert self.world.pools.by_address.keys() == set(listed)


TestQueries = Queries.TestCase
TestQueries.settings = settings(TestQueries.settings, deadline=None)


def test_roll_over_uses_previous_snapshot_until_new_one_is_served():
    world = make_world()
    former, newer = (make_snapshot(name, 3, ADDRESSES) for name in ('s1', 's2'))
    ask(world)
    world.publish(newer, former)
    seen = []
    for address in ADDRESSES:
        answer = ask(world)
        seen.append((answer.snapshot, answer.coverage.is_complete))
        world.by_address[address].serves = ['s2', 's1']
    assert seen[0] == ('s1', True)
    assert all(is_complete for _, is_complete in seen)
    for _ in range(9):
        answer = ask(world)
    assert answer.snapshot == 's2'


def test_query_restarts_once_when_its_snapshot_vanishes():
    world = make_world()
    newer = make_snapshot('s2', 2, ADDRESSES)
    ask(world)

    def roll():
        for searcher in world.by_address.values():
            searcher.serves = ['s2']
        world.publish(newer)

    world.publish(make_snapshot('s1', 3, ADDRESSES))
    for searcher in world.by_address.values():
        searcher.serves = ['s0']
    world.schedule(0.001, roll)
    answer = ask(world)
    assert (answer.snapshot, answer.coverage.is_complete) == ('s2', True)
    assert answer.attempts > len(newer.parts)


@pytest.mark.parametrize(
    ('mode', 'weighs', 'reason'),
    [
        ('silent', 'coverage', MissingReason.DEADLINE),
        ('silent', 'tail', MissingReason.GIVEN_UP),
        ('cut', 'coverage', MissingReason.LOST),
        ('older', 'coverage', MissingReason.WRONG_SNAPSHOT),
        ('shed', 'coverage', MissingReason.OVERLOADED),
        ('empty', 'coverage', MissingReason.PARTIAL),
    ],
)
def test_missing_part_is_reported_with_reason(mode, weighs, reason):
    world = make_world()
    for address in ADDRESSES[::3]:
        world.by_address[address].mode = mode
    answer = ask(world, tolerated_coverage=0, weighs=weighs)
    missing = answer.coverage.missing[0]
    assert (missing.reason, missing.records) == (reason, 4)
    assert (answer.coverage.answered, answer.coverage.total) == (2, 3)


def test_query_is_refused_once_coverage_is_out_of_reach():
    world = make_world()
    for address in ADDRESSES[::3]:
        world.by_address[address].mode = 'cut'
    for address in ADDRESSES[1::3]:
        world.by_address[address].mode = 'silent'
    started = world.clock.monotonic()
    refusal = ask(world, timeout=50, deadline_ms=50_000, extra_load=0)
    assert refusal.reason is RefusalReason.LOW_COVERAGE
    assert world.clock.monotonic() - started < 1


def test_snapshot_without_parts_is_refused():
    world = make_world()
    world.publish(Snapshot('s2', ()))
    refusal = ask(world, tolerated_coverage=0)
    assert refusal.reason is RefusalReason.NO_SNAPSHOT


@pytest.mark.parametrize('mode', ['normal', 'mute'])
def test_searcher_known_to_lack_snapshot_is_skipped(mode):
    world = make_world()
    lacking = world.by_address[ADDRESSES[0]]
    lacking.serves, lacking.mode = ['s0'], mode
    for _ in range(9):
        ask(world)
    assert ask(world).coverage.is_complete
    assert {ask(world).attempts for _ in range(9)} == {3}
    lacking.serves, lacking.mode = ['s1'], 'normal'
    world.clock.advance(2)
    ask(world)
    assert not world.served_snapshots.lacks(ADDRESSES[0], 's1')


def test_pools_of_pinned_snapshot_stay_open():
    world = make_world()
    world.by_address['9:9'] = Searcher(['s2'])
    newer = make_snapshot('s2', 1, ['9:9'])
    for address in ADDRESSES:
        world.by_address[address].mode = 'shed'

    def publish():
        world.publish(newer)
        for address in ADDRESSES:
            world.by_address[address].mode = 'normal'

    world.schedule(0.001, publish)
    answer = ask(world)
    assert (answer.snapshot, answer.coverage.is_complete) == ('s1', True)
    assert world.pools.by_address.keys() == {'9:9'}


def test_refusal_after_restart_reports_earlier_execution():
    world = make_world()
    former = make_snapshot('s1', 3, ADDRESSES)
    newer = make_snapshot('s2', 1, ADDRESSES[:1])
    for _ in range(9):
        ask(world)
    world.publish(newer, former)
    for index, address in enumerate(ADDRESSES):
        searcher = world.by_address[address]
        searcher.serves = ['s2'] if index % 3 else ['s1', 's2']
        searcher.is_up = address not in {ADDRESSES[3], ADDRESSES[6]}
        world.schedule(0.005, partial(setattr, searcher, 'mode', 'shed'))
    world.ran.clear()
    refusal = ask(world)
    assert refusal.reason is RefusalReason.LOW_COVERAGE
    assert (refusal.coverage.answered, refusal.coverage.total) == (0, 1)
    assert world.ran
    assert refusal.ran


def test_late_answer_after_hedge_is_ignored():
    world = make_world()
    for index, address in enumerate(ADDRESSES):
        mode = ('late', 'silent', 'normal')[index % 3]
        world.by_address[address].mode = mode
    answer = ask(
        world,
        timeout=0.2,
        tolerated_coverage=0,
        weighs='coverage',
    )
    assert answer.attempts > 3
    check_answer(answer, make_snapshot('s1', 3, ADDRESSES).parts, 'me')


def test_republished_snapshot_causes_no_restart():
    world = make_world()
    for address in ADDRESSES[::3]:
        world.by_address[address].is_up = False
    world.schedule(0, lambda: world.publish(make_snapshot('s1', 3, ADDRESSES)))

    def come_back():
        for address in ADDRESSES[::3]:
            world.by_address[address].is_up = True

    # After the last of three attempts failed, before the query sees that.
    world.schedule(
        0, lambda: world.schedule(0, lambda: world.schedule(0, come_back))
    )
    answer = ask(world, tolerated_coverage=0, weighs='coverage')
    assert answer.attempts == 5


def test_refusal_reports_attempts_that_may_still_run():
    world = make_world()
    for index, address in enumerate(ADDRESSES):
        mode = ('shed', 'late', 'late')[index % 3]
        world.by_address[address].mode = mode
    refusal = ask(world, extra_load=0)
    assert refusal.reason is RefusalReason.LOW_COVERAGE
    assert refusal.ran


def test_wrong_snapshot_retries_need_no_budget():
    world = make_world()
    for address in (ADDRESSES[0], ADDRESSES[3]):
        world.by_address[address].mode = 'shed'
    for _ in range(50):
        ask(world, extra_load=0, tolerated_coverage=0)
    for address in (ADDRESSES[0], ADDRESSES[3]):
        world.by_address[address].mode = 'normal'
        world.by_address[address].serves = ['s0']
    answers = [ask(world, extra_load=0, tolerated_coverage=0) for _ in '1234']
    assert all(answer.coverage.is_complete for answer in answers)
