"""Changes of the store heard from other VMs: nothing is missed for long."""

import random

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from basilwall.configuration.client import (
    PlatformError,
    PlatformReader,
    WatchReply,
)
from basilwall.configuration.platform_watch import PlatformWatch
from basilwall.fleet.store_relay import (
    MAX_AGE_SECONDS,
    ChangeServer,
    RelayedReader,
    StoreFreshness,
    zone_readers,
)
from basilwall.parts.clock import ManualClock
from basilwall.parts.membership import Member, Membership
from basilwall.parts.revisions import RevisionRegister
from basilwall.records.catalogue import PublishedValue

VMS = 6
HOLD = 'basilwall.fleet.store_relay.HOLD'
KEYS = [f'k{number}' for number in range(4)]


class Store(PlatformReader):
    """The store as one VM reaches it."""

    def __init__(self, truth):
        self.truth = truth
        self.is_cut = False
        self.calls = 0

    def watch(self, after):
        self.calls += 1
        if self.is_cut:
            raise PlatformError('cut')
        if after < self.truth.forgotten or not after:
            live = [one for one in self.truth.values() if one.body]
            return WatchReply(self.truth.revision, tuple(live), is_whole=True)
        news = [one for one in self.truth.values() if one.revision > after]
        return WatchReply(self.truth.revision, tuple(news))


class Truth:
    """What the operator and the searchers wrote."""

    def __init__(self):
        self.revision = 1
        self.forgotten = 0
        self.by_key = {}

    def values(self):
        return self.by_key.values()

    def write(self, key, body):
        self.revision += 1
        self.by_key[key] = PublishedValue(key, self.revision, body)


class Vm:
    """One VM with all that reading takes."""

    def __init__(self, number, truth, clock, fleet):
        self.address = f'10.0.0.{number}:1'
        self.store = Store(truth)
        self.register = RevisionRegister()
        own = Member(self.address, f'life-{number}', 'zone')
        self.membership = Membership(own, clock)
        self.reader = RelayedReader(
            self.store,
            self.membership,
            clock,
            may_relay=True,
            post=lambda to, question: fleet[to].server.answer(question),
        )
        self.watch = PlatformWatch(
            self.reader,
            self.register,
            clock,
            random.Random(number),
        )
        self.server = ChangeServer(
            self.register,
            self.watch,
            StoreFreshness(self.watch, self.reader, clock),
            clock,
            lambda: self.reader.is_reader,
        )

    def live(self):
        held = self.register.values_for(self.register.digest())
        return {one.key: one.body for one in held if one.body}


def make_fleet(count=VMS):
    truth, clock, fleet = Truth(), ManualClock(), {}
    for number in range(count):
        vm = Vm(number, truth, clock, fleet)
        fleet[vm.address] = vm
    for vm in fleet.values():
        for other in fleet.values():
            vm.membership.record_contact(other.membership.own)
    return truth, clock, fleet


def split(fleet):
    readers = [vm for vm in fleet.values() if vm.reader.is_reader]
    return readers, [vm for vm in fleet.values() if vm not in readers]


def test_all_vms_of_a_small_zone_read_and_two_of_a_large_one():
    own = Member('10.0.0.1:1', 'a', 'zone')
    beside = [
        Member(f'10.0.0.{number}:1', 'b', 'zone') for number in range(2, 30)
    ]
    elsewhere = [
        Member(f'10.0.1.{number}:1', 'b', 'other') for number in range(30)
    ]
    assert zone_readers(own, [*beside[:3], *elsewhere]) == [own.address]
    chosen = zone_readers(own, [*beside, *elsewhere])
    assert len(chosen) == 2
    for member in beside:
        others = [own, *(one for one in beside if one is not member)]
        assert zone_readers(member, others) == chosen


def test_a_change_reaches_all_with_calls_of_the_readers_alone(monkeypatch):
    monkeypatch.setattr(HOLD, 0)
    truth, _, fleet = make_fleet()
    readers, followers = split(fleet)
    truth.write('k0', b'a')
    for vm in (*readers, *followers):
        assert vm.watch.read()
    truth.write('k0', b'')
    truth.write('k1', b'b')
    for vm in (*readers, *followers):
        assert vm.watch.read()
        assert vm.live() == {'k1': b'b'}
    assert not any(vm.store.calls for vm in followers)


def test_a_reader_that_is_cut_off_is_not_relied_on_for_long(monkeypatch):
    monkeypatch.setattr(HOLD, 0)
    truth, clock, fleet = make_fleet()
    readers, followers = split(fleet)
    for vm in (*readers, *followers):
        assert vm.watch.read()
    for vm in readers:
        vm.store.is_cut = True
    truth.write('k0', b'a')
    clock.advance(MAX_AGE_SECONDS + 0.1)
    for vm in followers:
        assert vm.watch.read()
        assert vm.live() == {'k0': b'a'}


class RelayMachine(RuleBasedStateMachine):
    """Writes, reads, cuts and restarts in any order."""

    def __init__(self):
        super().__init__()
        self.patch = pytest.MonkeyPatch()
        self.patch.setattr(HOLD, 0)
        self.truth, self.clock, self.fleet = make_fleet()
        self.vms = list(self.fleet.values())

    def teardown(self):
        self.patch.undo()

    @rule(key=st.sampled_from(KEYS), body=st.sampled_from([b'', b'a', b'b']))
    def write(self, key, body):
        self.truth.write(key, body)

    @rule(number=st.integers(0, VMS - 1))
    def read(self, number):
        self.vms[number].watch.read()

    @rule(number=st.integers(0, VMS - 1), is_cut=st.booleans())
    def cut(self, number, is_cut):
        self.vms[number].store.is_cut = is_cut

    @rule()
    def forget_history(self):
        self.truth.forgotten = self.truth.revision

    @rule(number=st.integers(0, VMS - 1))
    def restart(self, number):
        fresh = Vm(number, self.truth, self.clock, self.fleet)
        self.fleet[fresh.address] = fresh
        for other in self.vms:
            fresh.membership.record_contact(other.membership.own)
        self.vms[number] = fresh

    @rule(seconds=st.sampled_from([0.3, 1.5, 3, 9]))
    def wait(self, seconds):
        self.clock.advance(seconds)
        for vm in self.vms:
            for other in self.vms:
                vm.membership.record_contact(other.membership.own)

    @rule()
    def all_are_right_in_the_end(self):
        for vm in self.vms:
            vm.store.is_cut = False
        for _ in range(3):
            self.wait(0.3)
            readers, followers = split(self.fleet)
            for vm in (*readers, *followers):
                vm.watch.read()
        live = {one.key: one.body for one in self.truth.values() if one.body}
        for vm in self.vms:
            assert vm.live() == live

    @invariant()
    def nobody_holds_what_was_never_written(self):
        for vm in self.vms:
            for key in vm.live():
                assert key in self.truth.by_key


RelayMachine.TestCase.settings = settings(
    max_examples=60,
    stateful_step_count=30,
    deadline=None,
    derandomize=True,
)
TestRelay = RelayMachine.TestCase
