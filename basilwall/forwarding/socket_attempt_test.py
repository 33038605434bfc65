"""Tests of an attempt over one connection, mainly of when it is not sent."""

import select
import socket
import struct
import time

import pytest

from basilwall.forwarding.connection import SearcherConnection
from basilwall.forwarding.reply_memory import ReplyMemory
from basilwall.forwarding.socket_attempt import SocketAttempt
from basilwall.parts.clock import ManualClock
from basilwall.platform.codec import HeaderCodec
from basilwall.records.forwarding import (
    Call,
    LossReason,
    Lost,
    Reply,
    Unsent,
)
from basilwall.records.searcher import Searcher
from basilwall.standin.ports import reserved_ports

START = ManualClock().monotonic()
DEADLINE = START + 2
HEAD = b'GET /a/ HTTP/1.1\r\nHost: h\r\n'
#: SO_LINGER with a time of 0 s: closing the socket sends a reset.
RESET = struct.pack('ii', 1, 0)
REPLY_WITHOUT_LENGTH = b'HTTP/1.1 200 OK\r\n\r\na part'
REPLY = b'HTTP/1.1 413 Too large\r\nContent-Length: 0\r\n\r\n'


@pytest.fixture(name='listener')
def _listener():
    with socket.create_server(('127.0.0.1', 0)) as listener:
        listener.settimeout(2)
        yield listener


def always():
    return True


def never():
    return False


class CountingSocket:
    """Counts the reads of a connection."""

    def __init__(self, connection):
        self.connection = connection
        self.socket = connection.socket
        self.reads = 0

    def __enter__(self):
        self.connection.socket = self
        return self

    def __exit__(self, *_):
        self.connection.socket = self.socket

    def recv(self, size):
        self.reads += 1
        return self.socket.recv(size)

    def __getattr__(self, name):
        return getattr(self.socket, name)


def make_attempt(listener, clock, may_send=always, body=b''):
    return make_attempt_to(*listener.getsockname(), clock, may_send, body)


def make_attempt_to(host, port, clock, may_send, body=b''):
    searcher = Searcher('i', 's', f'{host}:{port}', 'z', 2, False, 0, 1)
    connection = SearcherConnection(searcher, clock)
    return make_attempt_on(connection, clock, may_send, body)


def make_attempt_on(connection, clock, may_send=always, body=b''):
    call = Call(b'GET', b'/a/', 'h', b'1', HEAD, body, START, DEADLINE)
    memory = ReplyMemory(1_000_000, clock)
    return SocketAttempt(
        call, connection, HeaderCodec(), clock, DEADLINE, may_send, memory
    )


def received(listener, attempt):
    """Return the outcome, and what the searcher received until the close."""
    accepted, _ = listener.accept()
    with accepted:
        outcome = attempt.advance()
        attempt.connection.close()
        accepted.settimeout(2)
        return outcome, accepted.recv(1000)


def test_nothing_is_sent_to_a_searcher_that_left_during_connect(listener):
    attempt = make_attempt(listener, ManualClock(), may_send=never)
    outcome, bytes_read = received(listener, attempt)
    assert isinstance(outcome, Unsent)
    assert not bytes_read


def test_nothing_is_sent_after_the_deadline(listener):
    clock = ManualClock()
    attempt = make_attempt(listener, clock)
    clock.advance(3)
    outcome, bytes_read = received(listener, attempt)
    assert isinstance(outcome, Unsent)
    assert not bytes_read


def test_an_attempt_names_the_searcher_and_the_time_left(listener):
    clock = ManualClock()
    attempt = make_attempt(listener, clock)
    clock.advance(0.5)
    outcome, bytes_read = received(listener, attempt)
    assert outcome is None
    assert bytes_read == (
        HEAD + b'Request-Deadline-Ms: 1500\r\nExpect-Instance: i\r\n\r\n'
    )


def test_a_reply_that_comes_before_the_whole_request_is_sent_is_read(listener):
    clock = ManualClock()
    attempt = make_attempt(listener, clock, body=bytes(50_000_000))
    accepted, _ = listener.accept()
    with accepted:
        assert attempt.advance() is None
        assert attempt.is_waiting_to_write
        accepted.sendall(REPLY)
        poll = select.poll()
        poll.register(attempt.connection.socket, select.POLLIN)
        assert poll.poll(2000)
        outcome = attempt.advance()
        attempt.connection.close()
    assert outcome.status == 413
    assert not attempt.may_keep_connection


def test_no_reply_is_read_right_after_the_request_was_sent(listener):
    attempt = make_attempt(listener, ManualClock())
    accepted, _ = listener.accept()
    with accepted, CountingSocket(attempt.connection) as counted:
        assert attempt.advance() is None
        assert counted.reads == 0
        accepted.sendall(REPLY)
        assert attempt.advance().status == 413
        assert counted.reads == 1
    attempt.connection.close()


def test_a_refused_connection_is_reported_as_unsent():
    with reserved_ports(1) as port:
        attempt = make_attempt_to('127.0.0.1', port, ManualClock(), always)
        outcome = attempt.advance()
        attempt.connection.close()
    assert isinstance(outcome, Unsent)
    assert outcome.reason is LossReason.NOT_CONNECTED


def outcome_of_early_reply(listener, end_connection):
    """Return how an attempt ends whose reply has no length.

    The reply comes before the whole request is sent, then the connection ends.
    """
    attempt = make_attempt(listener, ManualClock(), body=bytes(50_000_000))
    accepted, _ = listener.accept()
    with accepted:
        assert attempt.advance() is None
        accepted.sendall(REPLY_WITHOUT_LENGTH)
        end_connection(accepted)
    time.sleep(0.1)
    outcome = None
    while outcome is None:
        assert attempt.is_waiting_to_write
        outcome = attempt.advance()
    attempt.connection.close()
    return outcome


def test_a_reply_without_length_that_is_reset_is_not_taken_for_complete(
    listener,
):
    outcome = outcome_of_early_reply(
        listener,
        lambda accepted: accepted.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, RESET
        ),
    )
    assert isinstance(outcome, Lost)
    assert outcome.reason is LossReason.CUT


def test_a_reply_without_length_that_ends_before_the_reset_is_complete(
    listener,
):
    outcome = outcome_of_early_reply(
        listener, lambda accepted: accepted.shutdown(socket.SHUT_WR)
    )
    assert (outcome.status, outcome.body) == (200, b'a part')


def own_reply(body):
    return (
        b'HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nContent-Length: %d\r\n\r\n%b'
        % (len(body), body)
    )


UNNAMED_REPLIES = (
    b'HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nformer',
    b'HTTP/1.1 503 X\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n',
    b'HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n',
)


def replied_on(attempt, accepted, reply):
    """Return the outcome of an attempt once a reply has come."""
    assert attempt.advance() is None
    accepted.sendall(reply)
    poll = select.poll()
    poll.register(attempt.connection.socket, select.POLLIN)
    assert poll.poll(2000)
    return attempt.advance()


@pytest.mark.parametrize('unnamed', UNNAMED_REPLIES)
def test_a_reply_that_names_no_request_is_not_given_to_the_next_one(
    listener, unnamed
):
    clock = ManualClock()
    first = make_attempt(listener, clock)
    accepted, _ = listener.accept()
    with accepted:
        assert replied_on(first, accepted, own_reply(b'a')).body == b'a'
        assert first.may_keep_connection
        second = make_attempt_on(first.connection, clock)
        outcome = replied_on(second, accepted, unnamed + own_reply(b'b'))
        first.connection.close()
    assert isinstance(outcome, Lost)
    assert outcome.reason is LossReason.SPOILED
    assert outcome.detail == 'reply names no request'
    assert not second.may_keep_connection


@pytest.mark.parametrize('unnamed', UNNAMED_REPLIES)
def test_a_connection_is_not_kept_after_a_reply_that_names_no_request(
    listener, unnamed
):
    attempt = make_attempt(listener, ManualClock())
    accepted, _ = listener.accept()
    with accepted:
        outcome = replied_on(attempt, accepted, unnamed)
        attempt.connection.close()
    assert isinstance(outcome, Reply)
    assert not attempt.may_keep_connection
