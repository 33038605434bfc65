"""Tests of the kept connections to other VMs."""

import socket

import pytest

from basilwall.forwarding.reply_memory import ReplyMemory
from basilwall.parts.clock import SystemClock
from basilwall.parts.membership import Member
from basilwall.relaying.connections import MAX_IDLE_PER_VM, RelayConnections


@pytest.fixture(name='peer')
def listening_peer():
    with socket.create_server(('127.0.0.1', 0)) as listener:
        address = f'127.0.0.1:{listener.getsockname()[1]}'
        yield Member('vm:1', relay_address=address)


@pytest.fixture(name='connections')
def empty_connections():
    return RelayConnections(SystemClock(), ReplyMemory(1000, SystemClock()))


def test_a_kept_connection_is_used_again(connections, peer):
    first = connections.checkout(peer)
    connections.release(first, may_keep=True)
    assert connections.checkout(peer) is first


def test_no_kept_connection_of_a_leaving_vm_is_used(connections, peer):
    kept = connections.checkout(peer)
    connections.release(kept, may_keep=True)
    leaving = Member('vm:1', leaving=True, relay_address=peer.relay_address)
    assert connections.checkout(leaving) is not kept
    assert kept.socket.fileno() == -1


def test_surplus_connections_are_closed(connections, peer):
    opened = [connections.checkout(peer) for _ in range(MAX_IDLE_PER_VM + 2)]
    for connection in opened:
        connections.release(connection, may_keep=True)
    is_open = [connection.socket.fileno() >= 0 for connection in opened]
    assert sum(is_open) == MAX_IDLE_PER_VM
    assert connections.checkout(peer) in opened


def test_an_idle_connection_is_closed_after_its_time(connections, peer):
    connection = connections.checkout(peer)
    connections.release(connection, may_keep=True)
    connection.usable_until = 0
    connections.close_idle()
    assert connection.socket.fileno() == -1
