"""Changes relayed from other VMs: no VM misses one for long."""

import random
from functools import partial

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
from basilwall.configuration.transfer_progress import (
    STALL_SECONDS,
    TransferProgress,
)
from basilwall.fleet.catch_up import CatchUp
from basilwall.fleet.change_client import ChangeClient
from basilwall.fleet.change_server import ChangeServer
from basilwall.fleet.relayed_reader import (
    MAX_AGE_SECONDS,
    RelayedReader,
    StoreFreshness,
)
from basilwall.fleet.value_versions import large_values
from basilwall.parts.clock import ManualClock
from basilwall.parts.membership import Member, Membership
from basilwall.parts.revisions import RevisionRegister
from basilwall.parts.stored_values import MAX_REMOVED_KEYS
from basilwall.records.catalogue import PublishedValue
from basilwall.records.revision import NO_REVISION, Revision
from basilwall.routing.location import VmLocation

VMS = 6
HOLD_SECONDS = 'basilwall.fleet.relayed_reader.HOLD_SECONDS'
KEYS = [f'k{number}' for number in range(4)]
LOCATION = VmLocation('zone', {'zone': 'here', 'next': 'here', 'far': 'there'})


class TasksAtOnce:
    """Runs tasks at once."""

    def start(self, task):
        task()


class Store(PlatformReader):
    """The store, as seen by one VM."""

    def __init__(self, contents):
        self.contents = contents
        self.is_unreachable = False
        self.calls = 0

    def watch(self, after):
        self.calls += 1
        if self.is_unreachable:
            raise PlatformError('unreachable')
        if after < self.contents.compacted_revision or after == NO_REVISION:
            live = [
                published
                for published in self.contents.values()
                if published.body
            ]
            return WatchReply(
                self.contents.revision, tuple(live), is_whole=True
            )
        changes = [
            published
            for published in self.contents.values()
            if published.revision > after
        ]
        return WatchReply(self.contents.revision, tuple(changes))


class StoreContents:
    """What operators and searchers have written to the store."""

    def __init__(self):
        self.revision = Revision(0, 1)
        self.compacted_revision = NO_REVISION
        self.by_key = {}

    def values(self):
        return self.by_key.values()

    def write(self, key, body):
        self.revision = self.revision._replace(number=self.revision.number + 1)
        self.by_key[key] = PublishedValue(key, self.revision, body)


class Vm:
    """The parts of one VM that read the store."""

    def __init__(self, number, contents, clock, fleet):
        self.address = f'10.0.0.{number}:1'
        self.store = Store(contents)
        self.register = RevisionRegister()
        own = Member(self.address, f'life-{number}', 'zone')
        self.membership = Membership(own, clock)
        client = ChangeClient(
            partial(large_values, self.register),
            lambda to, question, _: fleet[to].server.answer(question),
        )
        self.reader = RelayedReader(
            self.store,
            self.membership,
            LOCATION,
            clock,
            may_relay=True,
            client=client,
        )
        self.watch = PlatformWatch(
            self.reader,
            self.register,
            clock,
            random.Random(number),
        )
        self.progress = TransferProgress(clock)
        self.freshness = StoreFreshness(
            self.watch, self.reader, clock, self.progress
        )
        self.server = ChangeServer(
            self.register,
            self.watch,
            self.freshness,
            clock,
            lambda: self.reader.is_reader,
        )
        self.catch_up = CatchUp(
            self.watch, self.reader, client, TasksAtOnce(), clock
        )

    def live(self):
        stored = self.register.values_for(self.register.digest())
        return {
            published.key: published.body
            for published in stored
            if published.body
        }


def make_fleet(count=VMS):
    contents, clock, fleet = StoreContents(), ManualClock(), {}
    for number in range(count):
        vm = Vm(number, contents, clock, fleet)
        fleet[vm.address] = vm
    for vm in fleet.values():
        for other in fleet.values():
            vm.membership.record_contact(other.membership.own)
    return contents, clock, fleet


def readers_and_followers(fleet):
    readers = [vm for vm in fleet.values() if vm.reader.is_reader]
    return readers, [vm for vm in fleet.values() if vm not in readers]


def test_a_change_reaches_all_vms_with_store_calls_of_readers_alone(
    monkeypatch,
):
    monkeypatch.setattr(HOLD_SECONDS, 0)
    contents, _, fleet = make_fleet()
    readers, followers = readers_and_followers(fleet)
    contents.write('k0', b'a')
    for vm in (*readers, *followers):
        assert vm.watch.read()
    contents.write('k0', b'')
    contents.write('k1', b'b')
    for vm in (*readers, *followers):
        assert vm.watch.read()
        assert vm.live() == {'k1': b'b'}
    assert not any(vm.store.calls for vm in followers)


def test_followers_read_the_store_when_readers_are_cut_off(monkeypatch):
    monkeypatch.setattr(HOLD_SECONDS, 0)
    contents, clock, fleet = make_fleet()
    readers, followers = readers_and_followers(fleet)
    for vm in (*readers, *followers):
        assert vm.watch.read()
    for vm in readers:
        vm.store.is_unreachable = True
    contents.write('k0', b'a')
    clock.advance(MAX_AGE_SECONDS + 0.1)
    for vm in followers:
        assert vm.watch.read()
        assert vm.live() == {'k0': b'a'}


def test_a_reader_that_applies_a_large_reply_is_not_stale(monkeypatch):
    contents, clock, fleet = make_fleet()
    reader = readers_and_followers(fleet)[0][0]
    assert reader.watch.read()
    contents.write('k0', b'a')
    read_at_once = reader.store.watch

    def receive(after):
        with reader.progress.receiving():
            for _ in range(10):
                clock.advance(STALL_SECONDS)
                reader.progress.note_piece()
        return read_at_once(after)

    monkeypatch.setattr(reader.store, 'watch', receive)
    ages = []
    reader.register.subscribe(
        lambda _: ages.append(reader.freshness.age_seconds())
    )
    reader.watch.on_revision = lambda: ages.append(
        reader.freshness.age_seconds()
    )
    assert reader.watch.read()
    assert len(ages) == 2
    assert max(ages) <= MAX_AGE_SECONDS


def test_a_vm_turned_away_with_all_readers_catches_up(monkeypatch):
    monkeypatch.setattr(HOLD_SECONDS, 0)
    contents, clock, fleet = make_fleet()
    readers, followers = readers_and_followers(fleet)
    for vm in (*readers, *followers):
        assert vm.watch.read()
    turned_away = [*readers, followers[0]]
    for vm in turned_away:
        vm.store.is_unreachable = True
    contents.write('k0', b'a')
    clock.advance(MAX_AGE_SECONDS + 0.1)
    for vm in (*followers[1:], *turned_away):
        vm.watch.read()
    told = followers[-1]
    for vm in turned_away:
        assert vm.live() == {}
        vm.catch_up.record_peer_revision(
            told.address, told.catch_up.own_revision()
        )
        assert vm.live() == {'k0': b'a'}


def test_a_vm_behind_forgotten_removals_does_not_keep_removed_keys(monkeypatch):
    monkeypatch.setattr(HOLD_SECONDS, 0)
    contents, _, fleet = make_fleet()
    readers, followers = readers_and_followers(fleet)
    contents.write('k0', b'a')
    for vm in (*readers, *followers):
        assert vm.watch.read()
    contents.write('k0', b'')
    for number in range(2 * MAX_REMOVED_KEYS):
        contents.write(f'removed-{number}', b'')
    for vm in (*readers, *followers):
        assert vm.watch.read()
        assert vm.live() == {}


class RelayMachine(RuleBasedStateMachine):
    """Writes, reads, outages and restarts in any order."""

    def __init__(self):
        super().__init__()
        self.patch = pytest.MonkeyPatch()
        self.patch.setattr(HOLD_SECONDS, 0)
        self.contents, self.clock, self.fleet = make_fleet()
        self.vms = list(self.fleet.values())

    def teardown(self):
        self.patch.undo()

    @rule(key=st.sampled_from(KEYS), body=st.sampled_from([b'', b'a', b'b']))
    def write(self, key, body):
        self.contents.write(key, body)

    @rule(number=st.integers(0, VMS - 1))
    def read(self, number):
        self.vms[number].watch.read()

    @rule(number=st.integers(0, VMS - 1), other=st.integers(0, VMS - 1))
    def hear_of_revision(self, number, other):
        told = self.vms[other]
        self.vms[number].catch_up.record_peer_revision(
            told.address, told.catch_up.own_revision()
        )

    @rule(number=st.integers(0, VMS - 1), is_unreachable=st.booleans())
    def set_unreachable(self, number, is_unreachable):
        self.vms[number].store.is_unreachable = is_unreachable

    @rule()
    def compact_history(self):
        self.contents.compacted_revision = self.contents.revision

    @rule(number=st.integers(0, VMS - 1))
    def restart(self, number):
        restarted = Vm(number, self.contents, self.clock, self.fleet)
        self.fleet[restarted.address] = restarted
        for other in self.vms:
            restarted.membership.record_contact(other.membership.own)
        self.vms[number] = restarted

    @rule(seconds=st.sampled_from([0.3, 1.5, 3, 9]))
    def wait(self, seconds):
        self.clock.advance(seconds)
        for vm in self.vms:
            for other in self.vms:
                vm.membership.record_contact(other.membership.own)

    @rule()
    def all_vms_converge(self):
        for vm in self.vms:
            vm.store.is_unreachable = False
        for _ in range(3):
            self.wait(0.3)
            readers, followers = readers_and_followers(self.fleet)
            for vm in (*readers, *followers):
                vm.watch.read()
        live = {
            published.key: published.body
            for published in self.contents.values()
            if published.body
        }
        for vm in self.vms:
            assert vm.live() == live

    @invariant()
    def no_vm_has_a_key_never_written(self):
        for vm in self.vms:
            for key in vm.live():
                assert key in self.contents.by_key


RelayMachine.TestCase.settings = settings(
    max_examples=60,
    stateful_step_count=30,
    deadline=None,
    derandomize=True,
)
TestRelay = RelayMachine.TestCase
