"""Tests of reading a response that may have no end, or end too early."""

import http.client
import io
import socket

import pytest

from basilwall.configuration.limited_read import (
    InterruptedReadError,
    ResponseTooLargeError,
    read_body,
)


class Body(io.BytesIO):
    """The body of a response without a length."""

    length = None


def test_a_body_without_end_is_given_up():
    endless = Body(b'x' * 1000)
    with pytest.raises(ResponseTooLargeError):
        read_body(endless, limit=100)
    assert endless.tell() == 101


def test_a_body_up_to_the_limit_is_read_whole():
    assert read_body(Body(b'x' * 100), limit=100) == b'x' * 100


@pytest.mark.parametrize('is_silent', [True, False])
def test_a_body_that_ends_early_is_an_error_that_says_how_much_came(is_silent):
    near, far = socket.socketpair()
    with near, far:
        far.sendall(b'HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n')
        far.sendall(b'x' * 70_000)
        if not is_silent:
            far.shutdown(socket.SHUT_WR)
        near.settimeout(0.1)
        response = http.client.HTTPResponse(near)
        response.begin()
        with pytest.raises(InterruptedReadError, match=r'after \d+ bytes'):
            read_body(response)


def test_a_body_up_to_its_length_is_read_whole():
    near, far = socket.socketpair()
    with near, far:
        far.sendall(b'HTTP/1.1 200 OK\r\nContent-Length: 70000\r\n\r\n')
        far.sendall(b'x' * 70_000)
        near.settimeout(1)
        response = http.client.HTTPResponse(near)
        response.begin()
        assert read_body(response) == b'x' * 70_000
