"""What a caller gets for a query: an answer, or a refusal."""

from dataclasses import dataclass
from enum import Enum

from basilwall.records.ids import InstanceName, RequestId, SnapshotId


class MissingReason(Enum):
    """Why a part of the snapshot is not in an answer."""

    DEADLINE = 'deadline'
    NO_SEARCHER = 'no_searcher'
    OVERLOADED = 'overloaded'
    WRONG_SNAPSHOT = 'wrong_snapshot'
    LOST = 'lost'
    PARTIAL = 'partial'
    GIVEN_UP = 'given_up'
    QUARANTINED = 'quarantined'


@dataclass(frozen=True, slots=True)
class MissingPart:
    """One instance that is not, or only partly, in the answer."""

    instance: InstanceName
    reason: MissingReason
    records: int = 0

    @property
    def is_partial(self) -> bool:
        """True if the instance answered, for a part of its records only."""
        return self.reason is MissingReason.PARTIAL


@dataclass(frozen=True, slots=True)
class Coverage:
    """How much of the pinned snapshot's partition map an answer covers.

    `answered` and `total` count parts; the two record counts are sums over
    the parts, each part as large as the catalogue or its searcher says,
    whichever is more.
    """

    answered: int
    total: int
    records_covered: int
    records_total: int
    missing: tuple[MissingPart, ...]

    @property
    def is_complete(self) -> bool:
        """True if every part answered for all of its records."""
        if self.total == 0 or self.missing:
            return False
        return self.answered == self.total

    @property
    def fraction(self) -> float:
        """The share that is covered, from 0 to 1.

        It is the lower of two: the share of parts that answered, and the
        share of records that were looked at.
        """
        if self.total == 0:
            return 0
        if self.records_total == 0:
            return self.answered / self.total
        unanswered = sum(not part.is_partial for part in self.missing)
        return min(
            (self.total - unanswered) / self.total,
            self.records_covered / self.records_total,
        )


@dataclass(frozen=True, slots=True)
class QueryAnswer:
    """One answer from one snapshot; `records` is a JSON array.

    `half_wait` is when half of the parts had answered, in seconds.
    """

    request_id: RequestId
    snapshot: SnapshotId
    coverage: Coverage
    records: bytes
    attempts: int
    median_latency: float = 0


class RefusalReason(Enum):
    """Why a request was given up on."""

    UNKNOWN_SERVICE = 'unknown_service'
    OVERLOADED = 'overloaded'
    TOO_LATE = 'too_late'
    STOPPING = 'stopping'
    LOW_COVERAGE = 'low_coverage'
    NO_SNAPSHOT = 'no_snapshot'
    QUARANTINED = 'quarantined'


@dataclass(frozen=True, slots=True)
class Refusal:
    """The final answer to a request that was given up on.

    `ran` is False only if no attempt of it can have run anywhere.
    """

    request_id: RequestId
    reason: RefusalReason
    retry_after_ms: int
    ran: bool = False
    coverage: Coverage | None = None
