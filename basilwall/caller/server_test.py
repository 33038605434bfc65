"""Tests of the end of the server for callers, over real sockets."""

import contextlib
import socket
import threading
import time

import pytest

from basilwall.caller.server import ListenConfig, caller_server
from basilwall.standin.ports import reserved_ports

HOST = '127.0.0.1'
REQUEST = b'GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n'
#: Longer than the pause between two looks at the open connections.
HELD_UP_SECONDS = 0.3


class AppStub:
    """An application that answers every request."""

    is_stopping = True

    def __call__(self, environ, start_response):
        start_response('200 OK', [('Content-Length', '2')])
        return [b'ok']


@contextlib.contextmanager
def running_server():
    with reserved_ports(1) as port:
        config = ListenConfig(f'{HOST}:{port}', 2, 1000)
        with caller_server(AppStub(), config) as server:
            yield server, (HOST, port)


def read_all(connections):
    return [connection.makefile('rb').readline() for connection in connections]


@pytest.mark.parametrize('count', [1, 20])
def test_a_stop_answers_connections_that_the_loop_has_not_yet_accepted(count):
    with running_server() as (server, address):
        waitress_server = server._server
        waitress_server.trigger.pull_trigger(
            lambda: time.sleep(HELD_UP_SECONDS)
        )
        connections = [
            socket.create_connection(address, timeout=5) for _ in range(count)
        ]
        for connection in connections:
            connection.sendall(REQUEST)
    answers = read_all(connections)
    assert set(answers) == {b'HTTP/1.1 200 OK\r\n'}


def test_a_stop_answers_a_request_that_arrives_after_its_connection():
    with running_server() as (_, address):
        connection = socket.create_connection(address, timeout=5)
        sender = threading.Timer(HELD_UP_SECONDS, connection.sendall, [REQUEST])
        sender.start()
    assert read_all([connection]) == [b'HTTP/1.1 200 OK\r\n']
