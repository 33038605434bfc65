"""Replies read from bytes in any pieces, and bytes that are no reply."""

import itertools

import h11
import pytest
from hypothesis import given
from hypothesis import strategies as st

from basilwall.forwarding.reply_reader import InvalidReplyError, ReplyReader

OWN = b'HTTP/1.1 200 OK\r\nRequest-Id: own\r\nContent-Length: 3\r\n\r\nabc'
OTHER = b'HTTP/1.1 200 OK\r\nRequest-Id: other\r\nContent-Length: 2\r\n\r\nxy'
CHUNKED = (
    b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
    b'1\r\na\r\n2\r\nbc\r\n0\r\n\r\n'
)
UNFRAMED = b'HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nabc'


def is_own(response):
    return response.headers_by_name.get(b'request-id', b'own') == b'own'


def reader():
    return ReplyReader(b'GET', is_own)


def feed(made, stream, cuts, closes=False):
    places = [0, *sorted(cut % (len(stream) + 1) for cut in cuts), len(stream)]
    for start, end in itertools.pairwise(places):
        whole = made.feed(stream[start:end]) if end > start else None
        if whole is not None:
            return whole, stream[end:]
    return (made.feed(b'') if closes else None), b''


@pytest.mark.parametrize('stream', [OWN, CHUNKED, OTHER + OWN])
@given(cuts=st.lists(st.integers(0, 500), max_size=6))
def test_a_whole_reply_in_any_pieces(stream, cuts):
    whole, rest = feed(reader(), stream, cuts)
    assert whole.body == b'abc'
    assert whole.may_reuse_connection
    assert not rest


@given(cuts=st.lists(st.integers(0, 500), max_size=4))
def test_bytes_after_the_reply_make_the_connection_useless(cuts):
    whole, rest = feed(reader(), OWN + OTHER, cuts)
    assert whole.body == b'abc'
    assert rest or not whole.may_reuse_connection


def test_a_reply_to_head_has_no_body():
    made = ReplyReader(b'HEAD', is_own)
    whole = made.feed(OWN.partition(b'abc')[0])
    assert (whole.body, whole.may_reuse_connection) == (b'', True)


def test_a_reply_without_a_length_ends_with_its_connection():
    whole, _ = feed(reader(), UNFRAMED, [], closes=True)
    assert whole.body == b'abc'
    assert not whole.may_reuse_connection


@pytest.mark.parametrize('stream', [OWN[:-1], CHUNKED[:-5], OTHER, b''])
def test_an_early_end_is_no_reply(stream):
    with pytest.raises(InvalidReplyError):
        feed(reader(), stream, [], closes=True)


@given(st.binary(min_size=1, max_size=200))
def test_random_bytes_never_make_a_reply_of_this_request(noise):
    made = reader()
    try:
        whole, _ = feed(made, noise, [], closes=True)
    except InvalidReplyError:
        return
    assert whole is None or noise.startswith((b'HTTP/1.1', b'\r', b'\n'))


LENGTHS = st.sampled_from((b'length', b'chunks', b'close'))
BODIES = st.binary(max_size=40)


def reply(body, framing):
    """Return a reply whose end is told in one of three ways."""
    head = b'HTTP/1.1 200 OK\r\nRequest-Id: own\r\n'
    if framing == b'length':
        return head + b'Content-Length: %d\r\n\r\n' % len(body) + body
    if framing == b'close':
        return head + b'Connection: close\r\n\r\n' + body
    chunk = b'%x\r\n%b\r\n' % (len(body), body) if body else b''
    return head + b'Transfer-Encoding: chunked\r\n\r\n' + chunk + b'0\r\n\r\n'


def read_by_h11(stream):
    """Return the body as another parser reads it, None if it is not whole."""
    http = h11.Connection(h11.CLIENT)
    http.send(h11.Request(method='GET', target='/', headers=[('Host', 'a')]))
    http.send(h11.EndOfMessage())
    body = b''
    try:
        http.receive_data(stream)
        http.receive_data(b'')
        while True:
            event = http.next_event()
            if isinstance(event, h11.EndOfMessage):
                return body
            if isinstance(event, h11.Data):
                body += bytes(event.data)
    except h11.RemoteProtocolError:
        return None


@given(
    BODIES,
    LENGTHS,
    st.integers(0, 120),
    st.lists(st.integers(0, 200), max_size=4),
)
def test_a_reply_cut_anywhere_is_read_as_by_another_parser(
    body,
    framing,
    lost,
    cuts,
):
    stream = reply(body, framing)
    stream = stream[: max(len(stream) - lost, 0)]
    expected = read_by_h11(stream)
    try:
        whole, _ = feed(reader(), stream, cuts, closes=True)
    except InvalidReplyError:
        assert expected is None
    else:
        assert whole.body == expected


@pytest.mark.parametrize(
    'stream',
    [
        OWN.replace(b'Content-Length', b'Content-Length: 3\r\nContent-Length'),
        CHUNKED.replace(b'\r\n\r\n', b'\r\nContent-Length: 3\r\n\r\n', 1),
        UNFRAMED.replace(b'Connection: close', b'Transfer-Encoding: gzip'),
        OWN.replace(b'200 OK', b'100 Continue').partition(b'abc')[0],
        b'HTTP/1.1 101 Switching\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n',
    ],
)
def test_a_reply_whose_end_is_in_doubt_is_none(stream):
    with pytest.raises(InvalidReplyError):
        feed(reader(), stream, [], closes=True)


def test_an_announcement_comes_before_the_reply():
    early = b'HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n'
    whole, _ = feed(reader(), early + OWN, [])
    assert (whole.head.status, whole.body) == (200, b'abc')


def test_headers_are_kept_as_they_were_sent():
    stream = OWN.replace(
        b'Request-Id: own', b'Request-ID: own \r\nX-a: \r\nX-a: 2'
    )
    whole, _ = feed(reader(), stream, [3, 20, 40])
    assert whole.head.headers[:3] == (
        (b'Request-ID', b'own'),
        (b'X-a', b''),
        (b'X-a', b'2'),
    )
