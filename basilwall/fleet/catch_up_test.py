"""Catching up with other VMs: no VM depends on its own read alone."""

import random

import pytest

from basilwall.configuration.client import PlatformError, WatchReply
from basilwall.configuration.platform_watch import PlatformWatch
from basilwall.fleet.catch_up import PATIENCE_SECONDS, CatchUp
from basilwall.fleet.change_client import ChangeClient, RelayedChanges
from basilwall.fleet.relayed_reader import RelayedReader
from basilwall.parts.clock import ManualClock
from basilwall.parts.membership import Member, Membership
from basilwall.parts.revisions import RevisionRegister
from basilwall.records.catalogue import PublishedValue
from basilwall.records.revision import Revision
from basilwall.routing.location import VmLocation

PEER = '10.0.0.2:1'


#: What this VM has read.
OLD = Revision(0, 3)


class Tasks:
    """Runs tasks at once."""

    def start(self, task):
        task()


class Client(ChangeClient):
    """Another VM, with all changes up to a revision."""

    def __init__(self, revision):
        super().__init__()
        self.revision = revision
        self.requests = []
        self.is_silent = False

    def fetch(self, vm, request, limits):
        self.requests.append((vm, request.after))
        if self.is_silent:
            raise TimeoutError('timed out')
        values = (PublishedValue('k', self.revision, b'new'),)
        reply = WatchReply(self.revision, values)
        return RelayedChanges(reply, 0, 0, 0)


class Store:
    """A store that gives one value, then fails."""

    def __init__(self):
        self.is_down = False

    def watch(self, after):
        if self.is_down:
            raise PlatformError('down')
        return WatchReply(OLD, (PublishedValue('k', OLD, b'old'),))


class Vm:
    """A VM that has read revision 3, beside one that knows revision 5."""

    def __init__(self):
        self.clock = ManualClock()
        self.store = Store()
        self.register = RevisionRegister()
        self.client = Client(Revision(0, 5))
        membership = Membership(Member('10.0.0.1:1', 'a'), self.clock)
        reader = RelayedReader(
            self.store,
            membership,
            VmLocation('zone', {}),
            self.clock,
            False,
            self.client,
        )
        self.watch = PlatformWatch(
            reader, self.register, self.clock, random.Random(1)
        )
        self.catch_up = CatchUp(
            self.watch, reader, self.client, Tasks(), self.clock
        )
        assert self.watch.read()

    def body(self):
        (published,) = self.register.values_for(['k'])
        return published.body


@pytest.fixture(name='vm')
def _vm():
    return Vm()


def test_a_vm_whose_reads_fail_catches_up_at_once(vm):
    vm.store.is_down = True
    assert not vm.watch.read()
    vm.catch_up.record_peer_revision(PEER, Revision(0, 5))
    assert vm.client.requests == [(PEER, 3)]
    assert vm.body() == b'new'
    assert vm.catch_up.own_revision() == Revision(0, 5)


def test_a_vm_whose_read_hangs_catches_up_after_a_while(vm):
    vm.catch_up.record_peer_revision(PEER, Revision(0, 5))
    assert vm.body() == b'old'
    vm.clock.advance(PATIENCE_SECONDS + 0.1)
    vm.catch_up.record_peer_revision(PEER, Revision(0, 5))
    assert vm.body() == b'new'


def test_a_vm_that_hears_once_of_a_change_catches_up(vm):
    vm.catch_up.record_peer_revision(PEER, Revision(0, 5))
    vm.catch_up.check()
    assert vm.body() == b'old'
    vm.clock.advance(PATIENCE_SECONDS + 0.1)
    vm.catch_up.check()
    assert vm.body() == b'new'


def test_a_vm_that_reached_one_revision_catches_up_with_a_later_one(vm):
    vm.catch_up.record_peer_revision(PEER, Revision(0, 4))
    vm.catch_up.record_peer_revision('10.0.0.3:1', Revision(0, 5))
    vm.watch.apply_relayed(WatchReply(Revision(0, 4), ()))
    vm.catch_up.check()
    vm.clock.advance(PATIENCE_SECONDS + 0.1)
    vm.catch_up.check()
    assert vm.body() == b'new'


def test_a_vm_asks_another_one_if_the_first_is_silent(vm):
    vm.client.is_silent = True
    vm.catch_up.record_peer_revision(PEER, Revision(0, 5))
    vm.catch_up.record_peer_revision('10.0.0.3:1', Revision(0, 5))
    vm.clock.advance(PATIENCE_SECONDS + 0.1)
    vm.catch_up.check()
    vm.client.is_silent = False
    vm.catch_up.check()
    assert vm.body() == b'new'
    assert {asked for asked, _ in vm.client.requests} == {PEER, '10.0.0.3:1'}


def test_a_vm_that_reads_in_time_makes_no_call(vm):
    for revision in (4, 5, 6):
        vm.catch_up.record_peer_revision(PEER, Revision(0, revision))
        vm.clock.advance(PATIENCE_SECONDS + 0.1)
        vm.watch.apply_relayed(WatchReply(Revision(0, revision), ()))
    vm.catch_up.record_peer_revision(PEER, Revision(0, 6))
    vm.catch_up.record_peer_revision(PEER, Revision(0, 2))
    assert not vm.client.requests


def test_a_vm_that_does_not_reply_is_asked_again(vm):
    vm.store.is_down = True
    assert not vm.watch.read()
    vm.client.is_silent = True
    vm.catch_up.record_peer_revision(PEER, Revision(0, 5))
    assert vm.body() == b'old'
    vm.client.is_silent = False
    vm.catch_up.record_peer_revision(PEER, Revision(0, 5))
    assert vm.body() == b'new'


def test_a_vm_tells_for_how_long_another_one_knows_more(vm):
    assert vm.catch_up.behind_seconds() == 0
    vm.catch_up.record_peer_revision(PEER, Revision(0, 5))
    vm.clock.advance(2)
    assert vm.catch_up.behind_seconds() == 2
    vm.watch.apply_relayed(WatchReply(Revision(0, 5), ()))
    assert vm.catch_up.behind_seconds() == 0
