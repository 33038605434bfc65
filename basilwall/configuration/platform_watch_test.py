"""Watching the platform: cursors, outages, choice of readers, initial sync."""

import random
import threading
import time

from basilwall.configuration.client import PlatformError, WatchReply
from basilwall.configuration.initial_sync import wait_for_initial_sync
from basilwall.configuration.platform_watch import (
    PlatformWatch,
    WatchIntervals,
    combined_health,
)
from basilwall.configuration.readers import READERS_PER_ZONE, is_platform_reader
from basilwall.configuration.state import PlatformState
from basilwall.parts.clock import ManualClock
from basilwall.parts.membership import Member
from basilwall.parts.revisions import RevisionRegister
from basilwall.records.catalogue import FleetList, FleetVm, PublishedValue
from basilwall.records.revision import NO_REVISION, Revision


class Reader:
    """An address of the platform with a fixed list of replies."""

    def __init__(self, *replies):
        self.replies = list(replies)
        self.requested = []

    def watch(self, after):
        self.requested.append(after)
        reply = self.replies.pop(0)
        if isinstance(reply, Exception):
            raise reply
        return reply


NOT_READ = 'platform not read'


def reply(*revisions, key='k'):
    values = [
        PublishedValue(key, Revision(0, number), b'%d' % number)
        for number in revisions
    ]
    return WatchReply(Revision(0, max(revisions, default=0)), tuple(values))


def make(register, *replies, clock=None, **options):
    reader = Reader(*replies)
    watch = PlatformWatch(
        reader,
        register,
        clock or ManualClock(),
        random.Random(1),
        **options,
    )
    return reader, watch


def test_an_address_that_lags_hides_and_reverts_nothing():
    register = RevisionRegister()
    _, ahead = make(register, reply(9), reply(10))
    behind_reader, behind = make(register, reply(4), reply(7, key='other'))
    for watch in (ahead, behind, ahead, behind):
        assert watch.read()
    assert behind_reader.requested == [NO_REVISION, Revision(0, 4)]
    stored = {key: entry.revision for key, entry in register.digest().items()}
    assert stored == {'k': Revision(0, 10), 'other': Revision(0, 7)}


def test_the_cursor_follows_a_platform_whose_revision_went_down():
    register = RevisionRegister()
    reader, watch = make(register, reply(9), reply(3), PlatformError('down'))
    assert [watch.read() for _ in range(3)] == [True, True, False]
    assert reader.requested == [
        NO_REVISION,
        Revision(0, 9),
        Revision(0, 3),
    ]
    assert register.digest()['k'].revision == Revision(0, 9)
    health = combined_health([watch])
    assert (health.revision, health.failures, health.calls) == (
        Revision(0, 3),
        1,
        3,
    )


def test_a_vm_that_is_no_reader_makes_no_call():
    requested, stopping = [], threading.Event()

    def is_reader():
        requested.append(1)
        stopping.set()
        return False

    reader, watch = make(RevisionRegister(), is_reader=is_reader)
    watch.run(stopping)
    assert requested
    assert not reader.requested


class Waits(threading.Event):
    """Records how long a task waits; stops it after two waits."""

    def __init__(self):
        super().__init__()
        self.seconds = []

    def wait(self, timeout=None):
        self.seconds.append(timeout)
        if len(self.seconds) == 2:
            self.set()
        return True


def test_a_new_vm_reads_again_only_once_it_can_know_of_others():
    _, watch = make(
        RevisionRegister(),
        reply(9),
        reply(10),
        intervals=WatchIntervals(first=1.0, least=0.3),
    )
    waits = Waits()
    watch.run(waits)
    assert waits.seconds == [1.0, 0.3]


def fleet(count, zones):
    return FleetList(
        tuple(
            FleetVm(f'10.0.0.1:{number}', zone=f'zone-{number % zones}')
            for number in range(count)
        ),
    )


def chosen(of):
    return {
        vm.address
        for vm in of.vms
        if is_platform_reader(Member(vm.address), of)
    }


def test_all_vms_of_a_small_fleet_read_and_a_few_per_zone_of_a_large_one():
    assert len(chosen(fleet(9, 3))) == 9
    large = fleet(1900, 15)
    readers = chosen(large)
    assert len(readers) == 15 * READERS_PER_ZONE
    assert is_platform_reader(Member('10.9.9.9:1'), large)
    removed = min(readers)
    remaining = FleetList(
        tuple(vm for vm in large.vms if vm.address != removed)
    )
    assert len(chosen(remaining) - readers) == 1


def test_a_vm_syncs_only_after_its_peers_were_asked():
    state, read, stopping = (
        PlatformState(),
        threading.Event(),
        threading.Event(),
    )
    read.set()
    requested = []

    def peers_asked():
        requested.append(state.has_synced)
        return len(requested) == 3

    wait_for_initial_sync(state, peers_asked, [read], stopping)
    assert requested == [False, False, False]
    assert state.has_synced


def test_a_vm_syncs_without_the_platform_once_the_fleet_is_known():
    state, stopping = PlatformState(), threading.Event()
    started = threading.Thread(
        target=wait_for_initial_sync,
        args=(state, lambda: True, [threading.Event()], stopping),
    )
    started.start()
    time.sleep(1.3)
    assert not state.has_synced
    state.fleet = fleet(2, 1)
    started.join(timeout=5)
    assert state.has_synced


def test_failing_reads_are_logged_again_and_again_with_their_time(caplog):
    clock = ManualClock()
    _, watch = make(
        RevisionRegister(),
        reply(1),
        *(PlatformError('reply not usable') for _ in range(60)),
        clock=clock,
    )
    for _ in range(61):
        watch.read()
        clock.advance(0.5)
    lines = [one for one in caplog.records if one.message == NOT_READ]
    assert [one.failing_seconds for one in lines] == [0, 10, 20]
    assert [one.unread_seconds for one in lines] == [0.5, 10.5, 20.5]
