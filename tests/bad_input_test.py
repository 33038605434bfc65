"""Broken, huge and slow HTTP requests over real sockets disturb nobody."""

import socket

import pytest

from basilwall.standin.demo import demo_vm, send_request
from tests.processes import wait_until

QUERY = '/v1/services/depot-desk/query'
#: Less than a caller that says nothing could hold it up; the default deadline
#: of 100 ms also passes while a busy machine runs something else.
HEADERS = {'Request-Timeout-Ms': '5000'}


@pytest.fixture(scope='module')
def address():
    with demo_vm() as vm:
        found = vm.settings.caller_address
        wait_until(lambda: send_request(found, 'GET', '/readyz').status == 200)
        yield found


@pytest.mark.parametrize(
    ('status', 'sent'),
    [
        (b'400', b'not http at all\r\n\r\n'),
        (b'400', b'POST / HTTP/1.1\r\nContent-Length: many\r\n\r\n'),
        (b'400', b'GET / HTTP/1.1\r\nno colon here\r\n\r\n'),
        (b'413', b'POST / HTTP/1.1\r\nContent-Length: 999999999\r\n\r\n'),
        (b'431', b'GET / HTTP/1.1\r\nA: ' + b'x' * 300_000),
        (b'400', b'POST / HTTP/1.1\r\nTransfer-Encoding: odd\r\n\r\n'),
    ],
)
def test_a_broken_request_gets_a_clear_error(address, status, sent):
    host, _, port = address.rpartition(':')
    with socket.create_connection((host, int(port)), timeout=10) as peer:
        peer.sendall(sent)
        assert peer.recv(4096).split(b' ')[1] in {status, b'501'}
    assert send_request(address, 'POST', QUERY, b'{}', HEADERS).status == 200


def test_slow_requests_hold_up_nobody(address):
    host, _, port = address.rpartition(':')
    slow = [
        socket.create_connection((host, int(port)), timeout=10)
        for _ in range(100)
    ]
    try:
        for peer in slow:
            peer.sendall(b'POST / HTTP/1.1\r\nContent-Length: 10\r\n\r\n1')
        assert (
            send_request(address, 'POST', QUERY, b'{}', HEADERS).status == 200
        )
    finally:
        for peer in slow:
            peer.close()
