"""One attempt at one searcher, and the outcomes that it can end with.

Every attempt ends as exactly one of these records; what may follow is read
from the table in `basilwall.backend.rules`.
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
    """Whether running a request twice does harm."""

    IDEMPOTENT = 'query'
    NON_IDEMPOTENT = 'order'


class OutcomeTag(Enum):
    """The tag of each outcome, the key of the rules."""

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
    """What is sent to a searcher; `timeout_ms` is the time left to it."""

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

    `records` is the searcher's JSON array, `covered` of `total` the records
    that it looked at. `serves` names the snapshots that the searcher holds;
    it is empty if the searcher does not say.
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

    The tag says why: nothing was sent, or the searcher itself said so.
    """

    searcher: SearcherAddress
    tag: OutcomeTag
    detail: str = ''
    retry_after_ms: int = 0
    held_snapshots: tuple[SnapshotId, ...] = ()


@dataclass(frozen=True, slots=True)
class MayHaveRun:
    """The attempt was sent, and whether it ran is not known."""

    searcher: SearcherAddress
    tag: OutcomeTag
    detail: str = ''


AttemptOutcome = Answered | NotRun | MayHaveRun


class SearcherReply(msgspec.Struct):
    """The JSON body of a searcher's reply, as it travels.

    `outcome` names any tag but `not_sent` and `lost`; all but `answered` and
    `late` mean that the request did not run. `snapshot` is the one that the
    records were taken from, whichever was asked for.
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
