"""Tests of which VM serves a relayed request, and by which route table."""

import random
import socket
import threading
from contextlib import contextmanager

import pytest
from hypothesis import given
from hypothesis import strategies as st

from basilwall.forwarding.answers import NOT_RUN_STATUSES
from basilwall.forwarding.reply_memory import ReplyMemory
from basilwall.forwarding.reporting import Trail
from basilwall.forwarding.socket_waiter import SocketWaiter
from basilwall.parts.clock import SystemClock
from basilwall.parts.membership import Member, Membership
from basilwall.platform.codec import HeaderCodec
from basilwall.records.forwarding import Call, LossReason, Lost, Reply, Unsent
from basilwall.records.ids import SearcherId
from basilwall.records.searcher import SearcherProcess
from basilwall.relaying.codec import (
    ANSWERED_BY,
    MAY_HAVE_RUN,
    TABLE_VERSION,
    RelayCodec,
)
from basilwall.relaying.connections import RelayConnections
from basilwall.relaying.peers import RelayPeers
from basilwall.relaying.relay import Relay, RelayRequest
from basilwall.routing.location import VmLocation

HEAD = b'GET /a/ HTTP/1.1\r\nHost: h\r\nRequest-Id: 1\r\n'
#: What a VM does with a relayed request, when it does not answer.
CLOSES = b''


def answer(status, version, more=b''):
    return (
        b'HTTP/1.1 %d X\r\nRequest-Id: 1\r\nBasilwall-Table-Version: %d\r\n'
        b'%bConnection: close\r\nContent-Length: 2\r\n\r\nok'
        % (status, version, more)
    )


def serve_vm(listener, response, seen):
    while listener.fileno() >= 0:
        try:
            accepted, _ = listener.accept()
        except OSError:
            return
        with accepted:
            seen.append(accepted.recv(65536))
            accepted.sendall(response)


@contextmanager
def relay_to(*responses):
    """Run VMs that give these responses, the first one the nearest.

    Yields:
        The relay, and what each VM got.
    """
    clock = SystemClock()
    zones = [f'z{number}' for number in range(len(responses))]
    regions = {zone: 'r' if zone == 'z0' else zone for zone in zones}
    membership = Membership(Member('own:1'), clock)
    listeners, seen = [], []
    for zone, response in zip(zones, responses, strict=True):
        listener = socket.create_server(('127.0.0.1', 0))
        address = f'127.0.0.1:{listener.getsockname()[1]}'
        listeners.append(listener)
        seen.append([])
        threading.Thread(
            target=serve_vm, args=(listener, response, seen[-1]), daemon=True
        ).start()
        membership.record_contact(
            Member(f'{zone}:1', zone=zone, relay_address=address)
        )
    location = VmLocation('z0', regions)
    relay = Relay(
        RelayPeers(membership, location, clock),
        RelayConnections(clock, ReplyMemory(1_000_000, clock)),
        RelayCodec(HeaderCodec()),
        clock,
        random.Random(1),
    )
    try:
        yield relay, seen
    finally:
        for listener in listeners:
            listener.shutdown(socket.SHUT_RDWR)
            listener.close()


def serve(relay, known_version=1, max_attempts=None):
    now = SystemClock().monotonic()
    call = Call(b'GET', b'/a/', 'h', b'1', HEAD, b'', now, now + 2)
    request = RelayRequest(
        call, now + 2, relay.seen_version, known_version, max_attempts
    )
    return relay.serve(request, SocketWaiter(), Trail())


NOT_TAKEN = answer(503, 1, b'Basilwall-Not-Taken: 1\r\n')


def test_a_vm_that_does_not_take_a_request_is_followed_by_another():
    with relay_to(NOT_TAKEN, answer(200, 1)) as (relay, seen):
        result = serve(relay)
        assert result.answer.body == b'ok'
        assert [len(requests) for requests in seen] == [1, 1]
        names = b' '.join(name.lower() for name, _ in result.answer.headers)
        assert b'basilwall' not in names


def test_a_request_that_may_have_run_is_not_relayed_again():
    with relay_to(CLOSES, answer(200, 1)) as (relay, seen):
        result = serve(relay)
        assert result.answer is None
        assert result.may_have_run
        assert sum(map(len, seen)) == 1


def test_a_relayed_request_names_the_attempts_that_are_left():
    with relay_to(answer(200, 1)) as (relay, seen):
        serve(relay, max_attempts=1)
        assert b'basilwall-max-attempts: 1' in seen[0][0].lower()


def test_no_answer_by_older_routes_than_a_caller_has_seen():
    with relay_to(answer(200, 7)) as (relay, seen):
        serve(relay)
        serve(relay)
        assert relay.seen_version == 7
        assert b'basilwall-table-version: 0' in seen[0][0].lower()
        assert b'basilwall-table-version: 7' in seen[0][-1].lower()


def says(origin, may_have_run):
    return b'Basilwall-Answered-By: %b\r\nBasilwall-May-Have-Run: %d\r\n' % (
        origin,
        may_have_run,
    )


VM_NOT_RUN = says(b'vm', may_have_run=False)
OF_SEARCHER = says(b'searcher', may_have_run=True)
SIGNED = b'Server-Stamp: s\r\n'


def test_a_route_that_an_older_table_lacks_is_asked_for_elsewhere():
    with relay_to(answer(404, 6, VM_NOT_RUN), answer(200, 7)) as (relay, _):
        assert serve(relay, known_version=7).answer.status == 200


@pytest.mark.parametrize('more', [OF_SEARCHER, OF_SEARCHER + SIGNED, SIGNED])
def test_a_not_found_of_a_searcher_does_not_run_the_request_at_another_vm(more):
    with relay_to(answer(404, 6, more), answer(200, 7)) as (relay, seen):
        assert serve(relay, known_version=7).answer.status == 404
        assert sum(map(len, seen)) == 1


def test_an_older_build_says_nothing_so_its_not_found_may_have_run():
    with relay_to(answer(404, 6), answer(200, 7)) as (relay, seen):
        result = serve(relay, known_version=7)
        assert result.answer is None
        assert result.may_have_run
        assert sum(map(len, seen)) == 1


@pytest.mark.parametrize('status', [400, 413, 431])
def test_a_request_that_a_vm_of_older_limits_did_not_read_is_not_denied(status):
    with relay_to(answer(status, 1, VM_NOT_RUN), answer(200, 1)) as (relay, _):
        assert serve(relay).answer.status == 200


@pytest.mark.parametrize('status', [400, 413, 431])
def test_a_searcher_that_did_not_read_a_request_is_believed(status):
    with relay_to(answer(status, 1, OF_SEARCHER), answer(200, 1)) as (relay, _):
        assert serve(relay).answer.status == status


VERSIONS = st.integers(min_value=0, max_value=3)
STATUSES = st.one_of(
    st.sampled_from([200, 404, 408, 421, 429, 503]),
    st.integers(min_value=200, max_value=599),
)


class Outcomes:
    """VMs that answer in any way; counts at how many the request ran."""

    def __init__(self, outcomes):
        self._outcomes = list(outcomes)
        self.runs = 0

    def ask(self, *_):
        kind, status, version, is_old_build = self._outcomes.pop(0)
        self.runs += kind in {'lost', 'searcher'}
        if kind == 'lost':
            return Lost(SearcherId('vm'), LossReason.CUT)
        if kind == 'unsent':
            return Unsent(SearcherId('vm'), LossReason.NOT_CONNECTED)
        headers = [(TABLE_VERSION, b'%d' % version)]
        if not is_old_build:
            has_run = kind == 'searcher'
            origin = b'searcher' if has_run else b'vm'
            headers.append((ANSWERED_BY, origin))
            headers.append((MAY_HAVE_RUN, b'%d' % has_run))
        signature = b's' if kind == 'searcher' else b''
        return Reply(
            SearcherId('vm'),
            status,
            b'',
            tuple(headers),
            b'',
            signature,
            has_run=True,
        )


@given(
    outcomes=st.lists(
        st.tuples(
            st.sampled_from(['lost', 'unsent', 'searcher', 'vm']),
            STATUSES,
            VERSIONS,
            st.booleans(),
        ),
        min_size=3,
        max_size=3,
    ),
    known_version=VERSIONS,
)
def test_a_request_runs_at_one_vm_at_most_and_is_truly_called_not_run(
    outcomes, known_version
):
    with relay_to(CLOSES, CLOSES, CLOSES) as (relay, _):
        vms = Outcomes(outcomes)
        relay._ask = vms.ask
        result = serve(relay, known_version)
    assert vms.runs <= 1
    promises_not_run = (
        result.answer.status in NOT_RUN_STATUSES
        if result.answer
        else not result.may_have_run
    )
    assert not (promises_not_run and vms.runs)


def test_what_a_searcher_announces_is_learned_from_a_relayed_answer():
    more = (
        b'Server-Leaving: 1\r\n'
        b'Basilwall-Searcher-Process: i-1 10.0.0.1:80 7\r\n'
    )
    learned = []
    with relay_to(answer(200, 1, OF_SEARCHER + more)) as (relay, _):
        relay.record_announcements = lambda *said: learned.append(said)
        serve(relay)
    ((process, reply, _),) = learned
    assert process == SearcherProcess('i-1', '10.0.0.1:80', 7)
    assert reply.is_leaving


def test_a_route_that_a_current_table_lacks_is_not_found():
    with relay_to(answer(404, 7), answer(200, 7)) as (relay, _):
        assert serve(relay, known_version=7).answer.status == 404


def test_nothing_is_relayed_without_a_vm_that_reaches_searchers():
    with relay_to() as (relay, _):
        result = serve(relay)
        assert result.answer is None
        assert not result.may_have_run
