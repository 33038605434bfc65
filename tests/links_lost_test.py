"""A VM that loses its links to all searchers, while another VM keeps its own."""

import errno
import socket
import time
from enum import Enum

import pytest

from basilwall.backend.probe import find_dead
from basilwall.forwarding.connection import SearcherConnection
from tests.entry_stage import (
    ask,
    other_vm,
    request,
    split,
    staged,
    status_of,
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
        patched.setattr('basilwall.entry.SearcherConnection', links.connect)
        patched.setattr('basilwall.entry.find_dead', links.probe)
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


def lose_links(stage, links, state):
    """Cut the links; return once the VM should have noticed."""
    links.state = state
    end = time.monotonic() + 2
    while time.monotonic() < end:
        ask(stage.caller, request('/all/x'))


CUTS = [Link.SILENT, Link.RESET, Link.REFUSING]


@pytest.mark.parametrize('state', CUTS)
@pytest.mark.parametrize('path', ['/one/a', '/all/x'])
def test_callers_of_a_vm_without_links_are_served(pair, state, path):
    stage, links = pair
    lose_links(stage, links, state)
    for number in range(20):
        answer = ask(stage.caller, request(path, request_id=f'id-{number}'))
        assert status_of(answer) == 200
        assert split(answer)[0][b'request-id'] == b'id-%d' % number


def test_a_vm_serves_by_itself_again_when_its_links_are_back(pair):
    stage, links = pair
    lose_links(stage, links, Link.SILENT)
    links.state = Link.WORKING
    wait_until(lambda: stage.verdicts(request('/all/x')) == ['answered'])
