"""Relayed changes: no VM holds up a table past its bound."""

import contextlib
import json
import random
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

import msgspec
import pytest

from basilwall.configuration.client import PlatformReader, WatchReply
from basilwall.configuration.platform_watch import PlatformWatch
from basilwall.configuration.transfer_progress import TransferProgress
from basilwall.fleet.change_client import ChangeClient
from basilwall.fleet.change_server import ChangeServer
from basilwall.fleet.relayed_reader import (
    RelayedReader,
    StoreFreshness,
    region_readers,
)
from basilwall.parts.clock import ManualClock, SystemClock
from basilwall.parts.membership import Member, Membership
from basilwall.parts.revisions import RevisionRegister
from basilwall.records.catalogue import PublishedValue
from basilwall.records.revision import NO_REVISION, Revision
from basilwall.routing.location import VmLocation

BOUND_SECONDS = 5.0
LOCATION = VmLocation('zone', {'zone': 'region'})
#: The narrowest link of a VM, and the most VMs of one availability zone.
LINK_BITS_PER_SECOND = 7_000_000
VMS_IN_ZONE = 13
#: The largest value that the store keeps.
MAX_VALUE_BYTES = 1_048_576
#: A byte of a reply that never ends is sent each time this has passed.
TRICKLE_SECONDS = 0.2


def large_table():
    """Return a route table that is nearly as large as a value may be."""
    rng = random.Random(1)

    def word():
        return ''.join(rng.choices('abcdefghijklmnopqrstuvwxyz0123456789', k=8))

    routes = [
        {
            'name': f'r-{word()}',
            'host': f'{word()}.example',
            'prefix': f'/{word()}/',
            'type': 'idempotent',
            'service': word(),
            'timeout_ms': 2000,
            'target_latency_ms': 200,
            'max_attempts': 2,
            'priority': 1,
        }
        for _ in range(MAX_VALUE_BYTES // 205)
    ]
    body = json.dumps({'version': 2, 'routes': routes}).encode()
    assert MAX_VALUE_BYTES * 0.8 < len(body) <= MAX_VALUE_BYTES
    return body


#: Of the one value.
REVISION = Revision(0, 2)


class FixedStore(PlatformReader):
    """A store with one value, which answers at once."""

    def __init__(self, body):
        self.body = body

    def watch(self, after):
        values = (PublishedValue('table', REVISION, self.body),)
        return WatchReply(REVISION, values, is_whole=after == NO_REVISION)


def make_reader(store, membership, clock):
    return RelayedReader(
        store,
        membership,
        LOCATION,
        clock,
        may_relay=True,
        client=ChangeClient(),
    )


def test_a_large_table_reaches_a_zone_over_a_narrow_link_in_time():
    clock = ManualClock()
    membership = Membership(Member('10.0.0.1:1', 'a', 'zone'), clock)
    register = RevisionRegister()
    store = FixedStore(large_table())
    reader = make_reader(store, membership, clock)
    watch = PlatformWatch(reader, register, clock, random.Random(1))
    freshness = StoreFreshness(watch, reader, clock, TransferProgress(clock))
    server = ChangeServer(register, watch, freshness, clock, lambda: True)
    assert watch.read()
    status, reply = server.answer(msgspec.msgpack.encode([1]))
    assert status == 200
    sent_bits = len(reply) * 8 * (VMS_IN_ZONE - 1)
    # A table that is published during a transfer waits for the end of it.
    assert 2 * sent_bits / LINK_BITS_PER_SECOND < BOUND_SECONDS


class TricklingHandler(BaseHTTPRequestHandler):
    """Sends a reply byte by byte."""

    requests = 0

    def do_POST(self):
        TricklingHandler.requests += 1
        self.send_response(200)
        self.send_header('Content-Length', '1000')
        self.end_headers()
        end = time.monotonic() + 2 * BOUND_SECONDS
        with contextlib.suppress(ConnectionError):
            while time.monotonic() < end:
                self.wfile.write(b'\x00')
                time.sleep(TRICKLE_SECONDS)

    def log_message(self, *_):
        """Log nothing."""


@pytest.fixture(name='trickling_port')
def _trickling_port():
    server = ThreadingHTTPServer(('0.0.0.0', 0), TricklingHandler)
    server.daemon_threads = True
    threading.Thread(target=server.serve_forever, daemon=True).start()
    yield server.server_port
    server.shutdown()
    server.server_close()


def test_a_vm_that_replies_byte_by_byte_holds_up_no_table(trickling_port):
    members = [
        Member(f'127.0.0.{number}:{trickling_port}', 'a', 'zone')
        for number in range(1, 9)
    ]
    own = next(
        member
        for member in members
        if member.address
        not in region_readers(
            member,
            [other for other in members if other is not member],
            LOCATION,
        )
    )
    clock = SystemClock()
    membership = Membership(own, clock)
    for member in members:
        membership.record_contact(member)
    store = FixedStore(b'new')
    reader = make_reader(store, membership, clock)
    began = time.monotonic()
    reply = reader.watch(Revision(0, 1))
    assert time.monotonic() - began < BOUND_SECONDS
    assert TricklingHandler.requests
    assert [one.body for one in reply.values] == [b'new']
