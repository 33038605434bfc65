"""The headers of requests and replies on the wire.

What the users' protocol names stands here and nowhere else.
"""

import math

import h11

from basilwall.records.forwarding import (
    Answer,
    Call,
    RawHeaders,
    Reply,
    ReplyHead,
)
from basilwall.records.ids import SearcherId

MS_PER_SECOND = 1000
#: Waited for if the caller names no time, in seconds.
DEFAULT_TIMEOUT_SECONDS = 30.0
#: Longest wait that is taken in, in seconds.
MAX_TIMEOUT_SECONDS = 86_400.0

# Each attempt of a caller has an id of its own.
REQUEST_ID = b'request-id'
# How much longer the sender will wait, in milliseconds.
TIME_LEFT = b'request-deadline-ms'
# The one searcher that may run the request; any other answers 421.
EXPECTED_SEARCHER = 'Expect-Instance'
# The signature of a searcher's answer.
SIGNATURE = b'server-stamp'
# Says that the searcher did not run the request.
NOT_EXECUTED = b'not-executed'

_HOP_BY_HOP_HEADERS = frozenset(
    (
        b'connection',
        b'keep-alive',
        b'proxy-connection',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
        b'expect',
        b'content-length',
    )
)
_REPLACED_HEADERS = frozenset((b'expect-instance', TIME_LEFT))
_NO_HEADERS: frozenset[bytes] = frozenset()
_MISDIRECTED = 421


def decode_call(request: h11.Request, body: bytes, now: float) -> Call:
    """Read a caller's request.

    Args:
        request: The head.
        body: The whole body, decoded from chunks.
        now: When the head was read, in monotonic seconds.

    Returns:
        The request with the headers that go on.
    """
    by_name = dict(request.headers)
    host = by_name.get(b'host', b'').decode('latin-1').lower()
    return Call(
        method=request.method,
        target=request.target,
        host=host.rpartition(':')[0] if ':' in host else host,
        request_id=by_name.get(REQUEST_ID, b''),
        head=_encode_head(request),
        body=body,
        received_at=now,
        expires_at=now + _decode_timeout(by_name.get(TIME_LEFT, b'')),
    )


def encode_attempt(
    call: Call,
    searcher: SearcherId,
    time_left: float,
) -> bytes:
    """Return the bytes of one attempt.

    Each part of it was checked when it was read, the head by the parser of
    the caller's request and the searcher's id by that of its entry.

    Args:
        call: The caller's request.
        searcher: The searcher that alone may run it.
        time_left: How long its answer is waited for, in seconds.
    """
    left = max(int(time_left * MS_PER_SECOND), 1)
    own = f'Request-Deadline-Ms: {left}\r\n{EXPECTED_SEARCHER}: {searcher}\r\n'
    if call.body or call.method not in {b'GET', b'HEAD'}:
        own = f'{own}Content-Length: {len(call.body)}\r\n'
    return b''.join((call.head, own.encode(), b'\r\n', call.body))


def is_reply_to(request_id: bytes, head: ReplyHead) -> bool:
    """Return whether a reply names no other request than this one."""
    named = head.headers_by_name.get(REQUEST_ID)
    return named is None or named == request_id


def decode_reply(
    searcher: SearcherId,
    head: ReplyHead,
    body: bytes,
) -> Reply:
    """Read the whole reply of a searcher."""
    by_name = head.headers_by_name
    said_not_run = NOT_EXECUTED in by_name
    options = by_name.get(b'connection', b'').lower()
    return Reply(
        searcher=searcher,
        status=head.status,
        reason=head.reason,
        headers=_end_to_end_headers(head.headers, options),
        body=body,
        signature=by_name.get(SIGNATURE, b''),
        has_run=not (said_not_run or head.status == _MISDIRECTED),
        is_leaving=b'close' in options,
    )


def idle_limit(head: ReplyHead) -> float | None:
    """Return how long the sender keeps an idle connection, in seconds.

    None if it does not say.
    """
    for part in head.headers_by_name.get(b'keep-alive', b'').split(b','):
        name, _, text = part.strip().partition(b'=')
        if name.lower() == b'timeout' and text.isdigit():
            return float(int(text))
    return None


def answer_headers(
    call: Call | None,
    answer: Answer,
) -> list[tuple[bytes, bytes]]:
    """Return the headers of the final answer, but for those of framing."""
    headers = list(answer.headers)
    names = {name.lower() for name, _ in headers}
    if call is not None and call.request_id and REQUEST_ID not in names:
        headers.append((b'Request-Id', call.request_id))
    if answer.signatures:
        headers.append((b'Part-Stamps', b', '.join(answer.signatures)))
        headers.append((b'Missing-Parts', str(answer.missing_shards).encode()))
    if answer.retry_after is not None:
        after = f'{answer.retry_after:.2f}'
        headers.append((b'Retry-After', after.encode()))
    return headers


def _encode_head(request: h11.Request) -> bytes:
    line = b'%b %b HTTP/1.1\r\n' % (request.method, request.target)
    raw = tuple(request.headers.raw_items())
    options = dict(request.headers).get(b'connection', b'').lower()
    forwarded = _end_to_end_headers(raw, options, _REPLACED_HEADERS)
    lines = (b'%b: %b\r\n' % header for header in forwarded)
    return b''.join((line, *lines))


def _end_to_end_headers(
    headers: RawHeaders,
    options: bytes,
    also_left_out: frozenset[bytes] = _NO_HEADERS,
) -> RawHeaders:
    """Return the headers that go on; `options` are those of the connection."""
    left_out = _HOP_BY_HOP_HEADERS | also_left_out
    if options:
        named = {option.strip() for option in options.split(b',')}
        left_out |= named - {b'host'}
    return tuple(
        (name, text) for name, text in headers if name.lower() not in left_out
    )


def _decode_timeout(text: bytes) -> float:
    try:
        seconds = float(text) / MS_PER_SECOND
    except ValueError:
        return DEFAULT_TIMEOUT_SECONDS
    if math.isnan(seconds):
        return DEFAULT_TIMEOUT_SECONDS
    return min(max(seconds, 0), MAX_TIMEOUT_SECONDS)
