"""The minimal HTTP client compared with http.client on the same bytes."""

import http.client
import socket

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from basilwall.backend.minimal_http import (
    MinimalHttpConnection,
    MinimalHttpResponse,
)

HEAD = b'HTTP/1.1 200 OK\r\n'


def _read(kind, raw):
    ours, theirs = socket.socketpair()
    with ours, theirs:
        theirs.sendall(raw)
        theirs.shutdown(socket.SHUT_WR)
        response = kind(ours, method='POST')
        response.begin()
        return response.status, response.read(), response.will_close


def test_reply_may_be_delimited_by_connection_end():
    raw = b'%b\r\nall until the end' % HEAD
    assert _read(MinimalHttpResponse, raw) == (200, b'all until the end', True)


@settings(derandomize=True, max_examples=100, deadline=None)
@given(
    body=st.binary(max_size=300),
    chunked=st.booleans(),
    closes=st.booleans(),
    status=st.sampled_from([200, 409, 503, 504]),
    others=st.lists(
        st.sampled_from(
            [b'Server: x', b'Set-Cookie: a=b', b'X-A:', b'DATE: now'],
        ),
    ),
)
def test_reads_same_reply_as_http_client(body, chunked, closes, status, others):
    lines = [b'HTTP/1.1 %d .' % status, *others]
    if closes:
        lines.append(b'CONNECTION: Close')
    if chunked:
        lines.append(b'Transfer-Encoding: chunked')
        coded = b'%x\r\n%b\r\n' % (len(body), body) if body else b''
        body = b'%b0\r\n\r\n' % coded
    else:
        lines.append(b'content-length:%d' % len(body))
    raw = b'\r\n'.join([*lines, b'', body])
    assert _read(MinimalHttpResponse, raw) == _read(
        http.client.HTTPResponse, raw
    )


@pytest.mark.parametrize(
    'raw',
    [
        b'',
        b'HTTP/2 200 OK\r\nContent-Length: 0\r\n\r\n',
        b'HTTP/1.1 102 Processing\r\n\r\n',
        b'%bContent-Length: 3\r\n' % HEAD,
        b'%bContent-Length: 3\r\n\r\nab' % HEAD,
        b'%bContent-Length: -3\r\n\r\nabc' % HEAD,
        b'%bContent-Length: 2\r\nContent-Length: 3\r\n\r\nabc' % HEAD,
        b'%bContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n'
        % HEAD,
        b'%bTransfer-Encoding: gzip\r\n\r\nabc' % HEAD,
        b'%bTransfer-Encoding: gzip\r\nContent-Length: 3\r\n\r\nabc' % HEAD,
        b'%bTransfer-Encoding: chunked\r\n\r\n5\r\nab' % HEAD,
        b'%bTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n' % HEAD,
        b'%bX: y\r\n Content-Length: 3\r\n\r\nabc' % HEAD,
        b'%bContent-Length : 3\r\n\r\nabc' % HEAD,
        b'%bno colon\r\nContent-Length: 0\r\n\r\n' % HEAD,
        b'%bX: %b\r\nContent-Length: 0\r\n\r\n' % (HEAD, b'y' * 9000),
        b'%b%bContent-Length: 0\r\n\r\n' % (HEAD, b'X: y\r\n' * 70),
    ],
)
def test_incomplete_or_unsupported_reply_is_an_error(raw):
    with pytest.raises(http.client.HTTPException):
        _read(MinimalHttpResponse, raw)


def _posted(headers, body):
    ours, theirs = socket.socketpair()
    with ours, theirs:
        connection = MinimalHttpConnection('127.0.0.1:1')
        connection.sock = ours
        connection.prepare('/v1/a', headers)
        connection.endheaders(body)
        ours.shutdown(socket.SHUT_WR)
        return theirs.makefile('rb').read()


def test_request_is_sent_completely():
    assert _posted([('A', 'b'), ('C', 'd')], b'body') == (
        b'POST /v1/a HTTP/1.1\r\nA: b\r\nC: d\r\nHost: 127.0.0.1:1\r\n\r\nbody'
    )
    assert _posted([], b'').endswith(b':1\r\n\r\n')


@pytest.mark.parametrize('wrong', ['b\r\nC: d', 'b\nC: d', 'b\r', '\u20ac'])
def test_header_with_unsendable_characters_is_an_error(wrong):
    with pytest.raises(ValueError):
        _posted([('A', wrong)], b'')


@pytest.mark.parametrize('status', [b'000', b'099', b'101', b'600', b'999'])
def test_a_status_that_is_none_is_an_error(status):
    raw = b'HTTP/1.1 %b X\r\nContent-Length: 0\r\n\r\n' % status
    with pytest.raises(http.client.HTTPException):
        _read(MinimalHttpResponse, raw)
