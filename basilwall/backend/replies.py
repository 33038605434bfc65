"""What the reply of a searcher means for the attempt that waited for it.

A reply counts only if all of it fits: it names this attempt, its HTTP status
and its outcome agree, and its records are one JSON array. Anything else is a
lost attempt, since a guess could hand one caller the answer of another.
"""

from dataclasses import dataclass
from http import HTTPStatus

import msgspec

from basilwall.records.attempt import (
    Answered,
    AttemptOutcome,
    AttemptRequest,
    MayHaveRun,
    NotRun,
    OutcomeTag,
    SearcherReply,
)
from basilwall.records.ids import SearcherAddress

_reply_decoder = msgspec.json.Decoder(SearcherReply)

#: Outcomes by which a searcher says that the request did not run.
_NOT_RUN_TAGS = frozenset(
    (
        OutcomeTag.SHED,
        OutcomeTag.LEAVING,
        OutcomeTag.WRONG_SNAPSHOT,
        OutcomeTag.REJECTED,
    ),
)
#: The outcomes that a searcher may name; the others are only ours to see.
_TAG_BY_NAME = {
    tag.value: tag
    for tag in _NOT_RUN_TAGS | {OutcomeTag.ANSWERED, OutcomeTag.LATE}
}


class ReplyError(Exception):
    """The request was sent and no whole, matching reply came back."""

    def __init__(self, tag: OutcomeTag, detail: str) -> None:
        super().__init__(detail)
        self.tag = tag


@dataclass(frozen=True, slots=True)
class RawReply:
    """A reply that was read to its end."""

    status: int
    body: bytes


def parse_reply(
    address: SearcherAddress,
    request: AttemptRequest,
    raw: RawReply,
) -> AttemptOutcome:
    """Turn a whole reply into the outcome of an attempt.

    Args:
        address: The searcher that replied.
        request: The attempt that the reply was read for.
        raw: The reply.

    Returns:
        The outcome that the searcher states.

    Raises:
        ReplyError: If the reply is malformed, contradicts itself or belongs
            to another attempt.
    """
    reply = _decode(raw)
    if reply.attempt_id != request.attempt_id:
        raise ReplyError(OutcomeTag.LOST, 'reply to another attempt')
    tag = _TAG_BY_NAME.get(reply.outcome)
    if tag is None:
        raise ReplyError(OutcomeTag.LOST, f'no such outcome: {reply.outcome}')
    if (tag is OutcomeTag.ANSWERED) != (raw.status == HTTPStatus.OK):
        raise ReplyError(OutcomeTag.LOST, f'{reply.outcome} as {raw.status}')
    if tag in _NOT_RUN_TAGS:
        return NotRun(address, tag, '', reply.retry_after_ms, reply.serves)
    if tag is OutcomeTag.LATE:
        return MayHaveRun(address, tag, 'searcher gave up')
    return _answered(address, reply)


def _decode(raw: RawReply) -> SearcherReply:
    try:
        raw.body.decode()
        return _reply_decoder.decode(raw.body)
    except (UnicodeDecodeError, msgspec.DecodeError) as error:
        raise ReplyError(OutcomeTag.LOST, str(error)) from error


def _answered(address: SearcherAddress, reply: SearcherReply) -> Answered:
    records = bytes(reply.records)
    if not records.startswith(b'['):
        raise ReplyError(OutcomeTag.LOST, 'records are not an array')
    if min(reply.covered, reply.total) < 0:
        raise ReplyError(OutcomeTag.LOST, 'a count is negative')
    return Answered(
        address,
        reply.snapshot,
        records,
        reply.covered,
        reply.total,
        reply.leaving,
        reply.serves,
    )
