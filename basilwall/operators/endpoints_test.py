"""The endpoints for other programs, and connections to them that fail."""

import json
import logging
import socket
import struct
import time

import pytest

from basilwall.operators.endpoints import endpoint_server
from basilwall.operators.logs import JsonLinesFormatter
from basilwall.standin.ports import reserved_ports

FAILED = 'connection to an endpoint failed'
#: SO_LINGER with a time of 0 s: closing the socket sends a reset.
RESET = struct.pack('ii', 1, 0)
BEGUN_REQUEST = b'POST /x HTTP/1.1\r\nContent-Length: 9\r\n\r\n'
REQUEST = b'GET /x HTTP/1.1\r\nConnection: close\r\n\r\n'


def fail(_):
    raise KeyError('unforeseen')


@pytest.fixture(name='address')
def _address():
    with reserved_ports(1) as base:
        address = f'127.0.0.1:{base}'
        with endpoint_server(address, {'/x': fail}):
            yield '127.0.0.1', base


def failures(caplog):
    """Return the log lines of failures, once there is one."""
    end = time.monotonic() + 5
    lines = []
    while not lines and time.monotonic() < end:
        time.sleep(0.01)
        lines = [one for one in caplog.records if one.message == FAILED]
    return lines


def test_a_connection_that_is_reset_is_logged_as_a_line(address, caplog, capfd):
    caplog.set_level(logging.INFO)
    with socket.create_connection(address) as connection:
        connection.sendall(BEGUN_REQUEST)
        time.sleep(0.1)
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    (line,) = failures(caplog)
    logged = json.loads(JsonLinesFormatter().format(line))
    assert 'ConnectionResetError' in logged['error']
    assert 'exception' not in logged
    assert 'Traceback' not in capfd.readouterr().err


def test_an_endpoint_that_fails_is_logged_with_its_error(
    address, caplog, capfd
):
    with socket.create_connection(address) as connection:
        connection.sendall(REQUEST)
        assert connection.recv(1) == b''
    (line,) = failures(caplog)
    logged = json.loads(JsonLinesFormatter().format(line))
    assert (logged['level'], logged['error']) == (
        'ERROR',
        "KeyError('unforeseen')",
    )
    assert 'Traceback' in logged['exception']
    assert 'Exception occurred' not in capfd.readouterr().err
