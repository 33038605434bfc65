"""Large tables over narrow links: no VM is late, and no transfer is lost."""

import contextlib
import json
import random
import threading
import time
from functools import partial

import pytest

from basilwall.configuration.client import PlatformReader, WatchReply
from basilwall.configuration.platform_watch import PlatformWatch, WatchIntervals
from basilwall.configuration.transfer_progress import TransferProgress
from basilwall.fleet.catch_up import CatchUp
from basilwall.fleet.change_client import ChangeClient
from basilwall.fleet.change_server import ChangeServer
from basilwall.fleet.relayed_reader import RelayedReader, StoreFreshness
from basilwall.fleet.value_versions import large_values
from basilwall.parts.clock import SystemClock
from basilwall.parts.membership import Member, Membership
from basilwall.parts.revisions import RevisionRegister
from basilwall.parts.tasks import task_group
from basilwall.records.catalogue import PublishedValue
from basilwall.records.revision import NO_REVISION, Revision
from basilwall.routing.location import VmLocation

#: A region of the grown deployments.
VMS = 20
#: What other traffic leaves of the narrowest link, in bytes per second.
LINK_BYTES_PER_SECOND = 250_000
#: A document is in force this soon after it was acknowledged.
BOUND_SECONDS = 5.0
#: Longest hold of a watch by the store.
WATCH_SECONDS = 2.0
GOSSIP_SECONDS = 1.0
PACKET_BYTES = 8192
#: Values leave the store in base64.
STORE_EXPANSION = 4 / 3
LOCATION = VmLocation('zone', {'zone': 'region'})
#: The routes of the first table, which the second one doubles.
ROUTES = 1400
#: Time between the second table and the third one, which changes a route.
PAUSE_SECONDS = 2.2


class Link:
    """One direction of a VM's link; packets are sent one after the other."""

    def __init__(self):
        #: False until the VMs know the first table.
        self.is_narrow = False
        self._free_at = time.monotonic()
        self._lock = threading.Lock()

    def send(self, size):
        """Return when a packet that is sent now has left."""
        with self._lock:
            start = max(time.monotonic(), self._free_at)
            if self.is_narrow:
                self._free_at = start + size / LINK_BYTES_PER_SECOND
            return self._free_at


def packets(size):
    """Yield the sizes of the packets that bytes are sent in."""
    for offset in range(0, int(size), PACKET_BYTES):
        yield min(PACKET_BYTES, size - offset)


def deliver(packet, links):
    """Wait until a packet has passed links."""
    arrives_at = max(link.send(packet) for link in links)
    time.sleep(max(arrives_at - time.monotonic(), 0))


def table(version, routes):
    """Return a table; its version changes one of its routes."""
    rng = random.Random(1)
    listed = [
        {
            'name': f'r-{rng.getrandbits(40):x}',
            'host': f'{rng.getrandbits(40):x}.example',
            'prefix': f'/{rng.getrandbits(40):x}/',
            'type': 'idempotent',
            'service': f'{rng.getrandbits(40):x}',
            'timeout_ms': 2000,
            'target_latency_ms': 200,
            'max_attempts': 2,
            'priority': 1,
        }
        for _ in range(routes)
    ]
    listed[version]['timeout_ms'] = 1000
    return json.dumps({'version': version, 'routes': listed}).encode()


class Store:
    """The store that all VMs read; it has one value and its versions."""

    def __init__(self):
        self.versions = []
        self.changed = threading.Condition()

    def write(self, body):
        with self.changed:
            revision = len(self.versions) + 1
            self.versions.append(
                PublishedValue('table', Revision(0, revision), body)
            )
            self.changed.notify_all()

    def versions_after(self, after):
        with self.changed:
            self.changed.wait_for(
                lambda: len(self.versions) > after.number, WATCH_SECONDS
            )
            return tuple(self.versions[after.number :])


class StoreAccess(PlatformReader):
    """The store at the other end of one VM's link."""

    def __init__(self, store, link, progress):
        self.bytes_read = 0
        self._progress = progress
        self._store = store
        self._link = link

    def watch(self, after):
        versions = self._store.versions_after(after)
        if after == NO_REVISION:
            versions = versions[-1:]
        size = sum(len(one.body) for one in versions) * STORE_EXPANSION
        self.bytes_read += size
        if after != NO_REVISION:
            self._transfer(size)
        revision = versions[-1].revision if versions else after
        return WatchReply(revision, versions, is_whole=after == NO_REVISION)

    def _transfer(self, size):
        with self._progress.receiving():
            for packet in packets(size):
                deliver(packet, [self._link])
                self._progress.note_piece()


class Vm:
    """The parts of one VM that learn of changes."""

    def __init__(self, number, store, tasks, fleet):
        clock = SystemClock()
        self.address = f'10.0.0.{number}:1'
        self.fleet = fleet
        self.inbound, self.outbound = Link(), Link()
        self.lost_transfers = 0
        progress = TransferProgress(clock)
        self.store = StoreAccess(store, self.inbound, progress)
        own = Member(self.address, f'life-{number}', 'zone')
        self.membership = Membership(own, clock)
        self.register = RevisionRegister()
        client = ChangeClient(partial(large_values, self.register), self.post)
        self.reader = RelayedReader(
            self.store, self.membership, LOCATION, clock, True, client
        )
        self.watch = PlatformWatch(
            self.reader,
            self.register,
            clock,
            random.Random(number),
            intervals=WatchIntervals(0.05, 0.3),
        )
        self.server = ChangeServer(
            self.register,
            self.watch,
            StoreFreshness(self.watch, self.reader, clock, progress),
            clock,
            lambda: self.reader.is_reader,
        )
        self.register.subscribe(self.server.note_change)
        self.watch.on_revision = self.server.notify_waiting
        self.catch_up = CatchUp(self.watch, self.reader, client, tasks, clock)

    def post(self, to, body, limits):
        peer = self.fleet[to]
        status, reply = peer.server.answer(body)
        deadline = time.monotonic() + limits.transfer_seconds
        for packet in packets(len(reply)):
            deliver(packet, [peer.outbound, self.inbound])
            if time.monotonic() > deadline:
                self.lost_transfers += 1
                raise TimeoutError('timed out')
        return status, reply

    def gossip(self, stopping):
        rng = random.Random(self.address)
        while not stopping.wait(GOSSIP_SECONDS * rng.uniform(0.7, 1.3)):
            peer = rng.choice(list(self.fleet.values()))
            for one, other in ((self, peer), (peer, self)):
                one.catch_up.record_peer_revision(
                    other.address, other.catch_up.own_revision()
                )

    def is_follower(self):
        return not self.reader.is_reader

    def has(self, body):
        return any(
            published.body == body
            for published in self.register.values_for(['table'])
        )


@contextlib.contextmanager
def running_region(store):
    """Run the VMs of a region that know the first table."""
    fleet = {}
    with task_group('vm') as tasks:
        for number in range(1, VMS + 1):
            vm = Vm(number, store, tasks, fleet)
            fleet[vm.address] = vm
        for vm in fleet.values():
            for other in fleet.values():
                vm.membership.record_contact(other.membership.own)
        for vm in sorted(fleet.values(), key=Vm.is_follower):
            assert vm.watch.read()
        for vm in fleet.values():
            vm.inbound.is_narrow = True
            vm.outbound.is_narrow = True
        for vm in fleet.values():
            tasks.start(partial(vm.watch.run, tasks.stopping))
            tasks.start(partial(vm.gossip, tasks.stopping))
            tasks.start(partial(vm.catch_up.run, tasks.stopping))
        yield list(fleet.values())
        tasks.stopping.set()


def seconds_until(condition, limit):
    began = time.monotonic()
    while not condition():
        if time.monotonic() - began > limit:
            break
        time.sleep(0.01)
    return time.monotonic() - began


@pytest.fixture(name='played', scope='module')
def _played():
    store = Store()
    store.write(table(1, ROUTES))
    second, third = table(2, 2 * ROUTES), table(3, 2 * ROUTES)
    with running_region(store) as vms:
        time.sleep(WATCH_SECONDS)
        read_before = {vm.address: vm.store.bytes_read for vm in vms}
        store.write(second)
        time.sleep(PAUSE_SECONDS)
        store.write(third)
        seconds = seconds_until(
            lambda: all(vm.has(third) for vm in vms), 3 * BOUND_SECONDS
        )
    return {
        'seconds': seconds,
        'lost': sum(vm.lost_transfers for vm in vms),
        'store_reads_of_followers': sum(
            vm.store.bytes_read > read_before[vm.address]
            for vm in vms
            if vm.is_follower()
        ),
    }


def test_a_large_table_over_narrow_links_is_in_force_in_time(played):
    assert played['seconds'] < BOUND_SECONDS


def test_no_relayed_table_is_cut_off_by_the_limit_of_its_call(played):
    assert played['lost'] == 0


def test_only_readers_read_a_large_table_from_the_store(played):
    assert played['store_reads_of_followers'] == 0
