"""An attempt at one searcher and its possible outcomes.

Every attempt ends with exactly one of the outcome records. Whether a retry may
follow is decided by the table in `basilwall.backend.rules`.
"""

from dataclasses import dataclass
from enum import Enum

import msgspec

from basilwall.records.ids import (
    AttemptId,
    InstanceName,
    RequestId,
    SearcherAddress,
    ServiceName,
    SnapshotId,
)


class RequestKind(Enum):
    """Whether a request may safely run twice."""

    IDEMPOTENT = 'query'
    NON_IDEMPOTENT = 'order'


class OutcomeTag(Enum):
    """The kind of an outcome, the key of the retry rules."""

    ANSWERED = 'answered'
    NOT_SENT = 'not_sent'
    SHED = 'shed'
    LEAVING = 'leaving'
    WRONG_SNAPSHOT = 'wrong_snapshot'
    LATE = 'late'
    LOST = 'lost'
    REJECTED = 'rejected'


@dataclass(frozen=True, slots=True)
class AttemptRequest:
    """A request to a searcher; `deadline` is in monotonic seconds."""

    service: ServiceName
    instance: InstanceName
    kind: RequestKind
    request_id: RequestId
    attempt_id: AttemptId
    snapshot: SnapshotId
    body: bytes
    deadline: float


@dataclass(frozen=True, slots=True)
class Answered:
    """The searcher ran the request and its reply was read to its end.

    `records` is the searcher's JSON array. It searched `records_covered` of
    its `records_total` records. `held_snapshots` names the snapshots that the
    searcher holds, and is empty if the searcher does not say.
    """

    searcher: SearcherAddress
    snapshot: SnapshotId
    records: bytes
    records_covered: int
    records_total: int
    is_leaving: bool = False
    held_snapshots: tuple[SnapshotId, ...] = ()
    tag: OutcomeTag = OutcomeTag.ANSWERED


@dataclass(frozen=True, slots=True)
class NotRun:
    """The attempt certainly did not run.

    The tag says why: nothing was sent, or the searcher reported it.
    """

    searcher: SearcherAddress
    tag: OutcomeTag
    detail: str = ''
    retry_after_ms: int = 0
    held_snapshots: tuple[SnapshotId, ...] = ()


@dataclass(frozen=True, slots=True)
class MayHaveRun:
    """The attempt was sent, and it is unknown whether it ran."""

    searcher: SearcherAddress
    tag: OutcomeTag
    detail: str = ''


AttemptOutcome = Answered | NotRun | MayHaveRun


class SearcherReply(msgspec.Struct):
    """The JSON body of a searcher's reply, with its field names on the wire.

    `outcome` is any tag except `not_sent` and `lost`; all but `answered` and
    `late` mean that the request did not run. `snapshot` is the snapshot that
    the records were taken from, which may differ from the requested one.
    `covered` and `total` count the searched and the held records, `serves`
    names the snapshots that the searcher holds.
    """

    outcome: str
    attempt_id: str
    snapshot: SnapshotId = SnapshotId('')
    records: msgspec.Raw = msgspec.Raw(b'[]')
    covered: int = 0
    total: int = 0
    leaving: bool = False
    retry_after_ms: int = 0
    serves: tuple[SnapshotId, ...] = ()
