"""Replies read from bytes in any pieces, and bytes that are no reply."""

import itertools

import h11
import pytest
from hypothesis import given
from hypothesis import strategies as st

from basilwall.forwarding.reply_reader import ReplyReader

OWN = b'HTTP/1.1 200 OK\r\nRequest-Id: own\r\nContent-Length: 3\r\n\r\nabc'
OTHER = b'HTTP/1.1 200 OK\r\nRequest-Id: other\r\nContent-Length: 2\r\n\r\nxy'
CHUNKED = (
    b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
    b'1\r\na\r\n2\r\nbc\r\n0\r\n\r\n'
)
UNFRAMED = b'HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nabc'


def is_own(response):
    return dict(response.headers).get(b'request-id', b'own') == b'own'


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
    assert whole.is_clean
    assert not rest


@given(cuts=st.lists(st.integers(0, 500), max_size=4))
def test_bytes_after_the_reply_make_the_connection_useless(cuts):
    whole, rest = feed(reader(), OWN + OTHER, cuts)
    assert whole.body == b'abc'
    assert rest or not whole.is_clean


def test_a_reply_to_head_has_no_body():
    made = ReplyReader(b'HEAD', is_own)
    whole = made.feed(OWN.partition(b'abc')[0])
    assert (whole.body, whole.is_clean) == (b'', True)


def test_a_reply_without_a_length_ends_with_its_connection():
    whole, _ = feed(reader(), UNFRAMED, [], closes=True)
    assert whole.body == b'abc'
    assert not whole.is_clean


@pytest.mark.parametrize('stream', [OWN[:-1], CHUNKED[:-5], OTHER, b''])
def test_an_early_end_is_no_reply(stream):
    with pytest.raises(h11.RemoteProtocolError):
        feed(reader(), stream, [], closes=True)


@given(st.binary(min_size=1, max_size=200))
def test_random_bytes_never_make_a_reply_of_this_request(noise):
    made = reader()
    try:
        whole, _ = feed(made, noise, [], closes=True)
    except h11.RemoteProtocolError:
        return
    assert whole is None or noise.startswith((b'HTTP/1.1', b'\r', b'\n'))
