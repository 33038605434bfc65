"""Tests of parsing replies from chunks of any size, and invalid bytes."""

import itertools

import h11
import pytest
from hypothesis import given
from hypothesis import strategies as st

from basilwall.forwarding.reply_messages import InvalidReplyError
from basilwall.forwarding.reply_reader import ReplyReader
from basilwall.parts.memory_budget import MemoryBudget

MEMORY_BYTES = 20_000_000
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
    return ReplyReader(b'GET', is_own, MemoryBudget(MEMORY_BYTES).account())


def feed(reply_reader, stream, cuts, closes=False):
    offsets = [0, *sorted(cut % (len(stream) + 1) for cut in cuts), len(stream)]
    for start, end in itertools.pairwise(offsets):
        parsed = reply_reader.feed(stream[start:end]) if end > start else None
        if parsed is not None:
            return parsed, stream[end:]
    return (reply_reader.feed(b'') if closes else None), b''


@pytest.mark.parametrize('stream', [OWN, CHUNKED, OTHER + OWN])
@given(cuts=st.lists(st.integers(0, 500), max_size=6))
def test_a_complete_reply_in_any_chunks(stream, cuts):
    parsed, unread = feed(reader(), stream, cuts)
    assert parsed.body == b'abc'
    assert parsed.may_reuse_connection
    assert not unread


NUMBERED = bytes(number % 251 for number in range(100_000))


@pytest.mark.parametrize('framing', [b'length', b'chunks', b'close'])
@given(
    size=st.integers(0, len(NUMBERED)),
    cuts=st.lists(st.integers(0, len(NUMBERED)), max_size=30),
)
def test_a_body_that_comes_in_many_parts_is_whole(framing, size, cuts):
    body = NUMBERED[:size]
    stream = reply(body, framing)
    parsed, _ = feed(reader(), stream, cuts, closes=framing == b'close')
    assert parsed.body == body


@given(cuts=st.lists(st.integers(0, 500), max_size=4))
def test_bytes_after_the_reply_make_the_connection_unusable(cuts):
    parsed, unread = feed(reader(), OWN + OTHER, cuts)
    assert parsed.body == b'abc'
    assert unread or not parsed.may_reuse_connection


def test_a_reply_to_head_has_no_body():
    reply_reader = ReplyReader(
        b'HEAD', is_own, MemoryBudget(MEMORY_BYTES).account()
    )
    parsed = reply_reader.feed(OWN.partition(b'abc')[0])
    assert (parsed.body, parsed.may_reuse_connection) == (b'', True)


def test_a_reply_without_a_length_ends_with_its_connection():
    parsed, _ = feed(reader(), UNFRAMED, [], closes=True)
    assert parsed.body == b'abc'
    assert not parsed.may_reuse_connection


@pytest.mark.parametrize('stream', [OWN[:-1], CHUNKED[:-5], OTHER, b''])
def test_a_truncated_reply_is_an_error(stream):
    with pytest.raises(InvalidReplyError):
        feed(reader(), stream, [], closes=True)


@given(st.binary(min_size=1, max_size=200))
def test_random_bytes_never_make_a_reply_of_this_request(random_bytes):
    reply_reader = reader()
    try:
        parsed, _ = feed(reply_reader, random_bytes, [], closes=True)
    except InvalidReplyError:
        return
    assert parsed is None or random_bytes.startswith(
        (b'HTTP/1.1', b'\r', b'\n')
    )


LENGTHS = st.sampled_from((b'length', b'chunks', b'close'))
BODIES = st.binary(max_size=40)


def reply(body, framing):
    """Return a reply whose body is delimited in one of three ways."""
    head = b'HTTP/1.1 200 OK\r\nRequest-Id: own\r\n'
    if framing == b'length':
        return head + b'Content-Length: %d\r\n\r\n' % len(body) + body
    if framing == b'close':
        return head + b'Connection: close\r\n\r\n' + body
    chunk = b'%x\r\n%b\r\n' % (len(body), body) if body else b''
    return head + b'Transfer-Encoding: chunked\r\n\r\n' + chunk + b'0\r\n\r\n'


def read_by_h11(stream):
    """Return the body as read by h11, None if it is truncated."""
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
def test_a_reply_truncated_anywhere_is_read_as_by_h11(
    body,
    framing,
    lost_bytes,
    cuts,
):
    stream = reply(body, framing)
    stream = stream[: max(len(stream) - lost_bytes, 0)]
    expected = read_by_h11(stream)
    try:
        parsed, _ = feed(reader(), stream, cuts, closes=True)
    except InvalidReplyError:
        assert expected is None
    else:
        assert parsed.body == expected


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
def test_a_reply_of_ambiguous_length_is_an_error(stream):
    with pytest.raises(InvalidReplyError):
        feed(reader(), stream, [], closes=True)


def test_an_interim_response_is_skipped():
    early = b'HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n'
    parsed, _ = feed(reader(), early + OWN, [])
    assert (parsed.head.status, parsed.body) == (200, b'abc')


def test_headers_keep_their_order_and_spelling():
    stream = OWN.replace(
        b'Request-Id: own', b'Request-ID: own \r\nX-a: \r\nX-a: 2'
    )
    parsed, _ = feed(reader(), stream, [3, 20, 40])
    assert parsed.head.headers[:3] == (
        (b'Request-ID', b'own'),
        (b'X-a', b''),
        (b'X-a', b'2'),
    )


ENDLESS_HEAD = (b'HTTP/1.1 200 OK\r\n', b'X-More: more\r\n')
ENDLESS_REASON = (b'HTTP/1.1 200 ', b'more')
ENDLESS_BODY = (b'HTTP/1.1 200 OK\r\n\r\n', b'more')
ENDLESS_CHUNKS = (
    b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n',
    b'4\r\nmore\r\n',
)
ENDLESS_TRAILERS = (
    b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n',
    b'X-More: more\r\n',
)
ENDLESS_INTERIM = (b'', b'HTTP/1.1 100 Continue\r\n\r\n')
ENDLESS_OTHERS = (b'', OTHER)


@pytest.mark.parametrize(
    'stream',
    [
        ENDLESS_HEAD,
        ENDLESS_REASON,
        ENDLESS_BODY,
        ENDLESS_CHUNKS,
        ENDLESS_TRAILERS,
        ENDLESS_INTERIM,
        ENDLESS_OTHERS,
    ],
)
def test_bytes_without_end_are_given_up_within_their_memory(stream):
    start, repeated = stream
    budget = MemoryBudget(400_000)
    reply_reader = ReplyReader(b'GET', is_own, budget.account())
    chunk = repeated * 200
    with pytest.raises(InvalidReplyError):
        for number in range(100_000 // len(chunk) + 2):
            reply_reader.feed(start + chunk if not number else chunk)
    assert budget.used <= budget.limit / 4
    reply_reader.close()
    assert not budget.used


def test_replies_without_end_leave_room_for_small_ones():
    budget = MemoryBudget(400_000)
    endless = [ReplyReader(b'GET', is_own, budget.account()) for _ in range(20)]
    given_up = 0
    for reply_reader in endless:
        try:
            reply_reader.feed(ENDLESS_BODY[0] + b'x' * 90_000)
        except InvalidReplyError:
            given_up += 1
    assert given_up >= 15
    assert budget.used <= budget.limit
    assert (
        ReplyReader(b'GET', is_own, budget.account()).feed(OWN).body == b'abc'
    )


INTERIM = b'HTTP/1.1 100 Continue\r\n\r\n'
SIGNED = (
    b'HTTP/1.1 200 OK\r\nServer-Stamp: s\r\nRequest-Id: own\r\n'
    b'Content-Length: 3\r\nConnection: close\r\n\r\n'
)


HEADS = (SIGNED, UNFRAMED.partition(b'abc')[0])


@pytest.mark.parametrize('method', [b'GET', b'HEAD'])
@pytest.mark.parametrize('before', [b'', INTERIM, OTHER])
@given(head=st.sampled_from(HEADS), share=st.floats(0, 1, exclude_max=True))
def test_a_head_that_is_cut_anywhere_is_no_answer(method, before, head, share):
    stream = before + head[: int(len(head) * share)]
    reply_reader = ReplyReader(
        method, is_own, MemoryBudget(MEMORY_BYTES).account()
    )
    if stream:
        assert reply_reader.feed(stream) is None
    with pytest.raises(InvalidReplyError):
        reply_reader.feed(b'')


REST = b'\r\nRequest-Id: own\r\nContent-Length: 3\r\n\r\nabc'


@pytest.mark.parametrize(
    'line',
    [
        b'HTTP/1.1 000 X',
        b'HTTP/1.1 000',
        b'HTTP/1.1 001 X',
        b'HTTP/1.1 099 X',
        b'HTTP/1.1 101 X',
        b'HTTP/1.1 600 X',
        b'HTTP/1.1 999 X',
        b'HTTP/1.1 00 X',
        b'HTTP/1.1 2000 X',
        b'HTTP/2.0 200 OK',
        b'HTTP/0.9 200 OK',
        b'RTSP/1.0 200 OK',
    ],
)
@given(cuts=st.lists(st.integers(0, 80), max_size=4))
def test_a_message_whose_status_line_is_none_is_no_reply(line, cuts):
    with pytest.raises(InvalidReplyError):
        feed(reader(), line + REST, cuts)


@pytest.mark.parametrize('interim', [b'000', b'099', b'101', b'600'])
def test_what_is_no_response_precedes_no_reply(interim):
    before = b'HTTP/1.1 %b X\r\nContent-Length: 0\r\n\r\n' % interim
    with pytest.raises(InvalidReplyError):
        feed(reader(), before + OWN, [])


@pytest.mark.parametrize('status', [200, 204, 299, 404, 503, 599])
def test_any_final_status_is_that_of_a_reply(status):
    line = b'HTTP/1.1 %d' % status
    parsed, _ = feed(reader(), line + REST, [])
    assert parsed.head.status == status


@given(cuts=st.lists(st.integers(0, 80), max_size=4))
def test_ends_of_lines_and_interim_responses_precede_a_reply(cuts):
    stream = b'\r\nHTTP/1.1 103 X\r\n\r\n' + OWN
    parsed, _ = feed(reader(), stream, cuts)
    assert parsed.body == b'abc'
