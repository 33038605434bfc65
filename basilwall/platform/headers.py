"""Encodes and decodes the headers of requests and replies.

The header names of the users' protocol are defined in this module only.
"""

import logging
import math

from basilwall.records.forwarding import (
    Answer,
    Call,
    RawHeaders,
    Reply,
    ReplyHead,
    ReplyMatch,
)
from basilwall.records.ids import SearcherId
from basilwall.records.request_head import RequestHead

_log = logging.getLogger(__name__)

MS_PER_SECOND = 1000
#: Timeout of a request whose caller gives none, or an invalid one.
DEFAULT_TIMEOUT_SECONDS = 30.0
#: Longer rests that searchers ask for are reduced to this.
MAX_REST_SECONDS = 3600.0
#: Longer timeouts of callers are reduced to this.
MAX_TIMEOUT_SECONDS = 86_400.0

# Id of one attempt of the caller; a retry by the caller has a new id.
REQUEST_ID = b'request-id'
# Despite its name, how much longer the sender waits, in milliseconds.
TIME_LEFT = b'request-deadline-ms'
# Id of the only searcher that may run the request; others answer 421.
EXPECTED_SEARCHER = 'Expect-Instance'
# Signature of a searcher's answer.
SIGNATURE = b'server-stamp'
# Present if the searcher did not run the request.
NOT_EXECUTED = b'not-executed'
# "1" if the process that answers is shutting down.
LEAVING = b'server-leaving'
# How many requests per second the searcher takes from all VMs together; absent
# if it takes any number.
RATE_LIMIT = b'server-limit'
# In a refusal, for how many seconds the searcher wants no request of this VM.
RETRY_AFTER = b'retry-after'

# Headers of a single connection or of its framing; never forwarded.
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
# Set anew for each attempt.
_REPLACED_HEADERS = frozenset((b'expect-instance', TIME_LEFT))
_NO_HEADERS: frozenset[bytes] = frozenset()
_MISDIRECTED = 421
_UNAVAILABLE = 503


def decode_call(request: RequestHead, body: bytes, now: float) -> Call:
    """Decode a caller's request.

    Args:
        request: The request line and the headers.
        body: The complete body, after chunked decoding.
        now: When the head was received, in monotonic seconds.

    Returns:
        The request with the headers to forward.
    """
    by_name = request.headers_by_name
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
    """Return the head of one attempt.

    Nothing is escaped here: the head was validated by the parser of the
    caller's request, the searcher's id by the decoder of its entry.

    Args:
        call: The caller's request.
        searcher: The only searcher that may run the attempt.
        time_left: How long this VM waits for the reply, in seconds.
    """
    time_left_ms = max(int(time_left * MS_PER_SECOND), 1)
    attempt_headers = (
        f'Request-Deadline-Ms: {time_left_ms}\r\n'
        f'{EXPECTED_SEARCHER}: {searcher}\r\n'
    )
    if call.body or call.method not in {b'GET', b'HEAD'}:
        attempt_headers = (
            f'{attempt_headers}Content-Length: {len(call.body)}\r\n'
        )
    return b''.join((call.head, attempt_headers.encode(), b'\r\n'))


def match_reply(request_id: bytes, head: ReplyHead) -> ReplyMatch:
    """Return which request a reply names."""
    reply_id = head.headers_by_name.get(REQUEST_ID, b'')
    if reply_id == request_id:
        return ReplyMatch.THIS
    return ReplyMatch.OTHER if reply_id else ReplyMatch.NONE


def decode_reply(
    searcher: SearcherId,
    head: ReplyHead,
    body: bytes,
) -> Reply:
    """Decode the complete reply of a searcher."""
    by_name = head.headers_by_name
    is_marked_not_run = NOT_EXECUTED in by_name
    # A misdirected request was answered by another process at the address.
    is_from_searcher = head.status != _MISDIRECTED
    return Reply(
        searcher=searcher,
        status=head.status,
        reason=head.reason,
        headers=head.headers,
        body=body,
        signature=by_name.get(SIGNATURE, b''),
        has_run=not (is_marked_not_run or head.status == _MISDIRECTED),
        is_leaving=is_from_searcher and by_name.get(LEAVING) == b'1',
        rest_seconds=_decode_rest_seconds(head),
        rate_limit=_decode_rate_limit(head) if is_from_searcher else None,
    )


def _decode_rest_seconds(head: ReplyHead) -> float | None:
    """Return for how long a refusing searcher wants no request, in seconds."""
    text = head.headers_by_name.get(RETRY_AFTER)
    if head.status != _UNAVAILABLE or text is None:
        return None
    try:
        seconds = float(text)
    except ValueError:
        return None
    return min(seconds, MAX_REST_SECONDS) if seconds > 0 else None


def _decode_rate_limit(head: ReplyHead) -> float | None:
    """Return the limit that a searcher names, in requests per second."""
    text = head.headers_by_name.get(RATE_LIMIT)
    if text is None:
        return None
    try:
        limit = float(text)
    except ValueError:
        limit = math.nan
    if limit >= 0 and math.isfinite(limit):
        return limit
    _log.info('invalid rate limit', extra={'text': text.decode('latin-1')})
    return None


def idle_limit(head: ReplyHead) -> float | None:
    """Return the idle timeout of the sender's connection, in seconds.

    None if the reply states no timeout.
    """
    for parameter in head.headers_by_name.get(b'keep-alive', b'').split(b','):
        name, _, text = parameter.strip().partition(b'=')
        if name.lower() == b'timeout' and text.isdigit():
            return float(int(text))
    return None


def answer_headers(
    call: Call | None,
    answer: Answer,
) -> list[tuple[bytes, bytes]]:
    """Return the headers of the final answer, without the framing headers."""
    headers = list(_end_to_end_headers(answer.headers))
    names = {name.lower() for name, _ in headers}
    if call is not None and call.request_id and REQUEST_ID not in names:
        headers.append((b'Request-Id', call.request_id))
    if answer.signatures:
        headers.append((b'Part-Stamps', b', '.join(answer.signatures)))
        headers.append((b'Missing-Parts', str(answer.missing_shards).encode()))
    if answer.retry_after is not None:
        retry_after_seconds = f'{answer.retry_after:.2f}'
        headers.append((b'Retry-After', retry_after_seconds.encode()))
    return headers


def _encode_head(request: RequestHead) -> bytes:
    line = b'%b %b HTTP/1.1\r\n' % (request.method, request.target)
    forwarded = _end_to_end_headers(request.headers, _REPLACED_HEADERS)
    lines = (b'%b: %b\r\n' % header for header in forwarded)
    return b''.join((line, *lines))


def _end_to_end_headers(
    headers: RawHeaders,
    also_excluded: frozenset[bytes] = _NO_HEADERS,
) -> RawHeaders:
    """Return the headers to forward.

    The Connection header names further headers that must not be forwarded.
    Host is forwarded even if named.
    """
    excluded = _HOP_BY_HOP_HEADERS | also_excluded
    options = b','.join(
        text for name, text in headers if name.lower() == b'connection'
    )
    if options:
        named_options = {one.strip() for one in options.lower().split(b',')}
        excluded |= named_options - {b'host'}
    return tuple(
        (name, text) for name, text in headers if name.lower() not in excluded
    )


def _decode_timeout(text: bytes) -> float:
    """Return the timeout in seconds, the default if it is invalid."""
    try:
        seconds = float(text) / MS_PER_SECOND
    except ValueError:
        return DEFAULT_TIMEOUT_SECONDS
    if math.isnan(seconds):
        return DEFAULT_TIMEOUT_SECONDS
    return min(max(seconds, 0), MAX_TIMEOUT_SECONDS)
