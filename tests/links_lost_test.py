"""A VM that loses its links to all searchers; another VM keeps its own."""

import errno
import json
import socket
import time
from enum import Enum

import pytest

from basilwall.backend.probe import find_dead
from basilwall.forwarding.connection import SearcherConnection
from basilwall.standin.platform_searcher import Behaviour
from tests.crashing_stage import restarts
from tests.entry_stage import (
    ROUTES,
    ask,
    dial,
    other_vm,
    read_to_end,
    request,
    route,
    split,
    staged,
    status_of,
    table,
    wait_until,
)


class Link(Enum):
    """The links of the VM under test to all searchers."""

    WORKING = 'working'
    #: Whatever is sent gets no reply.
    SILENT = 'silent'
    #: Connections are reset, new ones too.
    RESET = 'reset'
    #: New connections are refused, kept ones live on.
    REFUSING = 'refusing'


class Links:
    """Switches the links of the VM that is built while this is in place."""

    def __init__(self):
        self.state = Link.WORKING
        self._silent = []

    def connect(self, searcher, clock):
        connection = _SwitchedConnection(searcher, clock, self)
        if self.state is Link.SILENT:
            connection.socket.close()
            connection.socket, other_end = socket.socketpair()
            connection.socket.setblocking(False)
            self._silent.append(other_end)
        elif self.state is not Link.WORKING:
            connection.failure = errno.ECONNREFUSED
        return connection

    def probe(self, addresses, seconds):
        if self.state is Link.WORKING:
            return find_dead(addresses, seconds)
        time.sleep(0.05)
        return set(addresses)


class _SwitchedConnection(SearcherConnection):
    def __init__(self, searcher, clock, links):
        super().__init__(searcher, clock)
        self._links = links

    def has_input(self):
        is_gone = self._links.state in {Link.SILENT, Link.RESET}
        return is_gone or super().has_input()


@pytest.fixture(name='pair')
def running_pair(tmp_path, monkeypatch):
    """Run a VM whose links can be cut, and another one."""
    links = Links()
    folder = tmp_path / 'other'
    folder.mkdir()
    with monkeypatch.context() as patched:
        patched.setattr(
            'basilwall.entry_serving.SearcherConnection', links.connect
        )
        patched.setattr('basilwall.entry_serving.find_dead', links.probe)
        stage_context = staged(tmp_path)
        stage = stage_context.__enter__()
    try:
        with other_vm(stage, folder) as other:
            ask(stage.caller, request('/all/x'))
            ask(other.caller, request('/all/x'))
            # The VMs know each other once they have exchanged messages.
            wait_until(lambda: stage.vm.fleet.membership.live_members())
            yield stage, links
    finally:
        stage_context.__exit__(None, None, None)


def ids_seen(stage):
    """Return the ids of the requests that ran at the single service."""
    return [one.header(b'request-id') for one in stage.seen('single')]


def lose_links(stage, links, state, path='/all/x'):
    """Cut the links; return once the VM should have noticed."""
    links.state = state
    end = time.monotonic() + 2
    while time.monotonic() < end:
        ask(stage.caller, request(path))


CUTS = [Link.SILENT, Link.RESET, Link.REFUSING]


@pytest.mark.parametrize('state', CUTS)
@pytest.mark.parametrize('path', ['/one/a', '/all/x'])
def test_callers_of_a_vm_without_links_are_served(pair, state, path):
    stage, links = pair
    lose_links(stage, links, state, path)
    for number in range(20):
        answer = ask(stage.caller, request(path, request_id=f'id-{number}'))
        assert status_of(answer) == 200
        assert split(answer)[0][b'request-id'] == b'id-%d' % number


def test_a_vm_serves_by_itself_again_when_its_links_are_back(pair):
    stage, links = pair
    lose_links(stage, links, Link.SILENT)
    links.state = Link.WORKING
    wait_until(lambda: stage.verdicts(request('/all/x')) == ['answered'])


def test_a_request_that_may_not_repeat_runs_once_when_it_is_relayed(pair):
    stage, links = pair
    lose_links(stage, links, Link.SILENT)
    for number in range(20):
        raw = request('/once/a', f'once-{number}', 'POST', b'content')
        assert status_of(ask(stage.caller, raw)) == 200
    ids = ids_seen(stage)
    for number in range(20):
        assert ids.count(b'once-%d' % number) == 1


def test_a_relayed_request_reaches_searchers_as_its_caller_sent_it(pair):
    stage, links = pair
    lose_links(stage, links, Link.SILENT)
    raw = request('/once/a?q=%20x', 'r-1', 'PUT', b'content', X_Own='kept')
    assert status_of(ask(stage.caller, raw)) == 200
    (seen,) = (
        one
        for one in stage.seen('single')
        if one.header(b'request-id') == b'r-1'
    )
    assert (seen.method, seen.target) == (b'PUT', b'/once/a?q=%20x')
    assert seen.body == b'content'
    assert seen.header(b'x-own') == b'kept'
    assert not [name for name, _ in seen.headers if b'basilwall' in name]
    assert 0 < int(seen.header(b'request-deadline-ms')) <= 1500


def test_a_caller_that_leaves_cancels_its_relayed_request(pair):
    stage, links = pair
    lose_links(stage, links, Link.SILENT)
    searchers = [
        stage.searcher_by_id[f'single.{zone}'] for zone in ('near', 'far')
    ]
    for searcher in searchers:
        searcher.behaviour = Behaviour.SILENT
    with dial(stage.caller) as connection:
        connection.sendall(request('/once/a', 'left-1', 'POST', b'content'))
        wait_until(lambda: any(s.seen for s in searchers), 1)
        time.sleep(0.2)
    wait_until(lambda: any(s.abandoned_connections for s in searchers), 1)


def test_no_request_goes_in_circles_when_no_vm_has_links(pair):
    stage, links = pair
    for searcher in stage.searcher_by_id.values():
        searcher.stop()
    lose_links(stage, links, Link.RESET)
    started_at = time.monotonic()
    answer = ask(stage.caller, request('/once/a', 'none-1', 'POST', b'x'))
    assert time.monotonic() - started_at < 0.5
    assert status_of(answer) == 503
    assert b'retry-after' in split(answer)[0]


def test_a_request_in_flight_is_not_moved_beyond_its_attempts(pair):
    stage, links = pair
    once = route('/few/', service='single', max_attempts=1)
    stage.store.put('op/config', table(2, (*ROUTES, once)))
    wait_until(lambda: status_of(ask(stage.caller, request('/few/a'))) == 200)
    for zone in ('near', 'far'):
        stage.searcher_by_id[f'single.{zone}'].work_seconds = 1.4
    with dial(stage.caller) as connection:
        connection.sendall(request('/few/a', 'few-1'))
        time.sleep(0.1)
        links.state = Link.SILENT
        answer = read_to_end(connection)
    assert status_of(answer) == 502
    assert b'retry-after' in split(answer)[0]
    ids = ids_seen(stage)
    assert ids.count(b'few-1') == 1


def test_a_moved_request_that_may_have_run_is_not_called_not_run(pair):
    stage, links = pair
    # Its attempts are not hedged before the links are lost.
    slow = route('/slow/', service='single', target_latency_ms=1900)
    stage.store.put('op/config', table(2, (*ROUTES, slow)))
    wait_until(lambda: status_of(ask(stage.caller, request('/slow/a'))) == 200)
    searchers = [
        stage.searcher_by_id[f'single.{zone}'] for zone in ('near', 'far')
    ]
    for searcher in searchers:
        searcher.work_seconds = 1.4
    with dial(stage.caller) as connection:
        connection.sendall(request('/slow/a', 'moved-1'))
        wait_until(lambda: b'moved-1' in ids_seen(stage))
        for searcher in searchers:
            searcher.behaviour, searcher.work_seconds = Behaviour.SHED, 0
        links.state = Link.SILENT
        answer = read_to_end(connection)
    assert status_of(answer) == 502
    assert b'retry-after' in split(answer)[0]


def test_a_relayed_content_that_crashes_searchers_is_quarantined(pair):
    stage, links = pair
    with restarts(stage) as restarting:
        lose_links(stage, links, Link.RESET)
        # The VM under test must learn of crashes that it does not see.
        for number in range(10):
            answer = ask(stage.caller, request('/one/crashing', f'c-{number}'))
            time.sleep(0.7)
        assert len(restarting.ended) <= 4
        assert status_of(answer) == 503
        assert float(split(answer)[0][b'retry-after']) > 10
        innocent = request('/one/innocent', 'innocent')
        wait_until(lambda: status_of(ask(stage.caller, innocent)) == 200)
        ended = len(restarting.ended)
        links.state = Link.WORKING
        wait_until(lambda: stage.verdicts(request('/all/x')) == ['answered'])
        ask(stage.caller, request('/one/crashing', 'back'))
        assert len(restarting.ended) == ended


@pytest.mark.parametrize(
    'more', [{'body': b'x' * 100_000}, {'X_More': 'x' * 20_000}]
)
def test_a_relayed_request_is_not_judged_by_the_limits_of_the_serving_vm(
    tmp_path, more
):
    with staged(tmp_path) as stage:
        settings = json.loads(stage.node_file.read_text())
        relay_address = f'{settings["ip"]}:{settings["internal_ports"][0]}'
        raw = request('/one/a', method='POST', **more)
        assert status_of(ask(stage.caller, raw)) in {413, 431}
        assert status_of(ask(relay_address, raw)) == 200
