"""Converts the reply of a searcher into the outcome of an attempt.

A reply is valid only if it names this attempt, its HTTP status agrees with
its outcome, and its records are one JSON array. Anything else is a lost
attempt, because a guess could give one caller the answer of another.
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

#: Outcomes with which a searcher states that the request did not run.
_NOT_RUN_TAGS = frozenset(
    (
        OutcomeTag.SHED,
        OutcomeTag.LEAVING,
        OutcomeTag.WRONG_SNAPSHOT,
        OutcomeTag.REJECTED,
    ),
)
#: Outcomes that a reply may contain; the others are detected on this side.
_TAG_BY_NAME = {
    tag.value: tag
    for tag in _NOT_RUN_TAGS | {OutcomeTag.ANSWERED, OutcomeTag.LATE}
}


class ReplyError(Exception):
    """The request was sent, but no complete and matching reply was read."""

    def __init__(self, tag: OutcomeTag, detail: str) -> None:
        super().__init__(detail)
        self.tag = tag


@dataclass(frozen=True, slots=True)
class RawReply:
    """A reply that was read completely."""

    status: int
    body: bytes


def parse_reply(
    address: SearcherAddress,
    request: AttemptRequest,
    raw: RawReply,
) -> AttemptOutcome:
    """Return the outcome of an attempt from its complete reply.

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
        raise ReplyError(OutcomeTag.LOST, 'reply names another attempt')
    tag = _TAG_BY_NAME.get(reply.outcome)
    if tag is None:
        raise ReplyError(OutcomeTag.LOST, f'unknown outcome: {reply.outcome}')
    if (tag is OutcomeTag.ANSWERED) != (raw.status == HTTPStatus.OK):
        raise ReplyError(
            OutcomeTag.LOST,
            f'outcome {reply.outcome} with HTTP status {raw.status}',
        )
    if tag in _NOT_RUN_TAGS:
        return NotRun(address, tag, '', reply.retry_after_ms, reply.serves)
    if tag is OutcomeTag.LATE:
        return MayHaveRun(address, tag, 'searcher reached its own timeout')
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
        raise ReplyError(OutcomeTag.LOST, 'records are not a JSON array')
    if min(reply.covered, reply.total) < 0:
        raise ReplyError(OutcomeTag.LOST, 'negative record count')
    return Answered(
        address,
        reply.snapshot,
        records,
        reply.covered,
        reply.total,
        reply.leaving,
        reply.serves,
    )
