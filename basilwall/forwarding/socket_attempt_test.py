"""One attempt on one connection, up to the last moment before it is sent."""

import socket

import pytest

from basilwall.forwarding.connection import SearcherConnection
from basilwall.forwarding.socket_attempt import SocketAttempt
from basilwall.parts.clock import ManualClock
from basilwall.platform.codec import HeaderCodec
from basilwall.records.forwarding import Call, LossReason, Unsent
from basilwall.records.searcher import Searcher
from basilwall.standin.ports import reserved_ports

START = ManualClock().monotonic()
DEADLINE = START + 2
HEAD = b'GET /a/ HTTP/1.1\r\nHost: h\r\n'


@pytest.fixture(name='listener')
def _listener():
    with socket.create_server(('127.0.0.1', 0)) as listener:
        listener.settimeout(2)
        yield listener


def always():
    return True


def never():
    return False


def make(listener, clock, may_send=always):
    return make_to(*listener.getsockname(), clock, may_send)


def make_to(host, port, clock, may_send):
    searcher = Searcher('i', 's', f'{host}:{port}', 'z', 2, False, 0, 1)
    call = Call(b'GET', b'/a/', 'h', b'1', HEAD, b'', START, DEADLINE)
    connection = SearcherConnection(searcher, clock)
    return SocketAttempt(
        call, connection, HeaderCodec(), clock, DEADLINE, may_send
    )


def received(listener, exchange):
    """Return what reached the searcher, once the connection is closed."""
    taken, _ = listener.accept()
    with taken:
        outcome = exchange.advance()
        exchange.connection.close()
        taken.settimeout(2)
        return outcome, taken.recv(1000)


def test_a_searcher_that_left_while_we_connected_gets_nothing(listener):
    exchange = make(listener, ManualClock(), may_send=never)
    outcome, bytes_read = received(listener, exchange)
    assert isinstance(outcome, Unsent)
    assert not bytes_read


def test_nothing_is_sent_after_the_deadline(listener):
    clock = ManualClock()
    exchange = make(listener, clock)
    clock.advance(3)
    outcome, bytes_read = received(listener, exchange)
    assert isinstance(outcome, Unsent)
    assert not bytes_read


def test_what_is_sent_names_the_searcher_and_the_time_left(listener):
    clock = ManualClock()
    exchange = make(listener, clock)
    clock.advance(0.5)
    outcome, bytes_read = received(listener, exchange)
    assert outcome is None
    assert bytes_read == (
        HEAD + b'Request-Deadline-Ms: 1500\r\nExpect-Instance: i\r\n\r\n'
    )


def test_a_refused_connection_is_nothing_sent():
    with reserved_ports(1) as port:
        exchange = make_to('127.0.0.1', port, ManualClock(), always)
        outcome = exchange.advance()
        exchange.connection.close()
    assert isinstance(outcome, Unsent)
    assert outcome.reason is LossReason.NOT_CONNECTED
