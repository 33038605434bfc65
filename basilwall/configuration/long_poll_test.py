"""Long polling of a server that falls silent, is slow, or refuses."""

import random
import threading
import time
from http.server import BaseHTTPRequestHandler

import pytest

from basilwall.configuration.client import PlatformError
from basilwall.configuration.long_poll import (
    GIVE_UP_SECONDS,
    MIN_INTERVAL_SECONDS,
    LongPollClient,
    Poll,
)
from basilwall.parts.clock import SystemClock
from basilwall.standin.http_server import HttpStandIn, SilencedHandler
from basilwall.standin.ports import reserved_ports

HOLD_SECONDS = 3.0
#: Wanted after the end of any outage.
IN_FORCE_SECONDS = 1.0


class Handler(SilencedHandler, BaseHTTPRequestHandler):
    """Answers checks at once, quick reads with news, held reads with news."""

    def do_GET(self):
        server = self.stand_in
        server.paths.append(self.path)
        if self.path in server.reset_paths:
            self.close_connection = True
            return
        time.sleep(server.answer_seconds)
        if self.path in server.refused_paths:
            self.reply(503, b'')
            return
        if self.path == '/held':
            server.has_news.wait(HOLD_SECONDS)
        self.reply(200, b'news' if server.has_news.is_set() else b'nothing')


class Server(HttpStandIn):
    """A server with a held read, a quick one and a check."""

    handler_class = Handler

    def __init__(self, address):
        super().__init__(address)
        self.paths = []
        self.reset_paths = set()
        self.refused_paths = set()
        self.answer_seconds = 0
        self.has_news = threading.Event()


@pytest.fixture(name='server')
def _server():
    with reserved_ports(1) as base:
        server = Server(f'127.0.0.1:{base}')
        server.start()
        yield server
        server.has_news.set()
        server.stop()


@pytest.fixture(name='client')
def _client(server):
    return LongPollClient(server.address, SystemClock(), random.Random(1))


POLL = Poll(
    '/held',
    '/quick',
    '/check',
    HOLD_SECONDS,
    lambda response: response.body == b'news',
)


def after(seconds, *actions):
    """Do something after a while, on a thread."""

    def run():
        time.sleep(seconds)
        for action in actions:
            action()

    threading.Thread(target=run, daemon=True).start()


def set_silent(server, is_silent):
    server.is_silent = is_silent


def test_a_read_is_held_only_where_the_server_has_just_answered(server, client):
    assert client.get(POLL).body == b'nothing'
    assert server.paths == ['/check', '/quick']
    after(0.1, server.has_news.set)
    assert client.get(POLL).body == b'news'
    assert server.paths == ['/check', '/quick', '/held']


@pytest.mark.parametrize('silent_seconds', [0.1, 0.6, 1.7, 2.6])
def test_a_read_that_an_outage_has_swallowed_delays_no_news(
    server, client, silent_seconds
):
    client.get(POLL)
    set_silent(server, True)
    after(silent_seconds, lambda: set_silent(server, False))
    after(silent_seconds + 0.1, server.has_news.set)
    began_at = time.monotonic()
    body = b''
    while body != b'news':
        body = client.get(POLL).body
    seconds = time.monotonic() - began_at - silent_seconds
    assert seconds < IN_FORCE_SECONDS


def test_a_slow_server_is_read_by_the_first_call_that_it_answers(
    server, client
):
    client.get(POLL)
    server.answer_seconds = 1.2
    server.has_news.set()
    began_at = time.monotonic()
    assert client.get(POLL).body == b'news'
    assert time.monotonic() - began_at < 2 * server.answer_seconds
    assert server.paths.count('/held') == 1


def test_long_silence_is_told_apart_from_a_late_answer(server, client):
    client.get(POLL)
    assert not client.take_was_silent()
    server.answer_seconds = 0.8
    server.has_news.set()
    client.get(POLL)
    assert not client.take_was_silent()
    server.answer_seconds = 0
    set_silent(server, True)
    after(2.5, lambda: set_silent(server, False))
    client.get(POLL)
    assert client.take_was_silent()
    assert not client.take_was_silent()


def test_calls_to_a_silent_server_are_bounded_and_given_up(server, client):
    client.get(POLL)
    former = client.call_count
    set_silent(server, True)
    began_at = time.monotonic()
    with pytest.raises(PlatformError):
        client.get(POLL)
    seconds = time.monotonic() - began_at
    assert seconds < HOLD_SECONDS + GIVE_UP_SECONDS + IN_FORCE_SECONDS
    most = seconds / MIN_INTERVAL_SECONDS + 2
    assert client.call_count - former <= most


def test_a_refused_check_fails_the_read_at_once(server, client):
    server.refused_paths.add('/check')
    with pytest.raises(PlatformError):
        client.get(POLL)
    assert server.paths == ['/check']


def test_a_server_that_answers_checks_only_is_not_called_in_a_loop(
    server, client
):
    server.reset_paths.update(('/held', '/quick'))
    with pytest.raises(PlatformError):
        client.get(POLL)
    assert client.call_count <= 3


def test_a_connection_that_the_server_closed_while_idle_is_no_failure(
    server, client
):
    client.get(POLL)
    server.cut_connections()
    time.sleep(0.1)
    server.has_news.set()
    assert client.get(POLL).body == b'news'
