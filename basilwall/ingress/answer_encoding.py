"""Encodes the head of an answer for its caller."""

import re
from collections.abc import Sequence
from http import HTTPStatus

#: Other statuses have no phrase.
_PHRASE_BY_STATUS = {
    status.value: status.phrase.encode() for status in HTTPStatus
}
_NO_BODY_STATUSES = frozenset((HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED))
_HEAD = b'HEAD'
_VALID_HEAD = re.compile(
    rb'HTTP/1\.1 \d{3} [^\r\n\0]*\r\n'
    rb"(?:[!#$%&'*+.^_`|~0-9A-Za-z-]+: [^\r\n\0]*\r\n)*\r\n"
)


class UnencodableAnswerError(ValueError):
    """An answer has a status or a header that HTTP does not allow."""


def encode_head(
    status: int,
    reason: bytes,
    headers: Sequence[tuple[bytes, bytes]],
    body_bytes: int,
    *,
    keep_alive: bool,
) -> bytes:
    """Return the head of an answer.

    Args:
        status: The status.
        reason: The reason phrase; the usual one is taken if it is empty.
        headers: The headers without those of the framing.
        body_bytes: The length of the body.
        keep_alive: Whether the connection stays open.

    Raises:
        UnencodableAnswerError: If HTTP does not allow a part of it.
    """
    phrase = reason or _PHRASE_BY_STATUS.get(status, b'')
    lines = [
        b'HTTP/1.1 %d %b' % (status, phrase),
        *(b'%b: %b' % header for header in headers),
        b'Content-Length: %d' % body_bytes,
    ]
    if not keep_alive:
        lines.append(b'Connection: close')
    lines.append(b'\r\n')
    head = b'\r\n'.join(lines)
    if not _VALID_HEAD.fullmatch(head):
        raise UnencodableAnswerError(f'malformed answer of status {status}')
    return head


def has_body(method: bytes, status: int) -> bool:
    """Return whether an answer to a request of a method has a body."""
    return method != _HEAD and status not in _NO_BODY_STATUSES
