"""The final results of a query: an answer or a refusal."""

from dataclasses import dataclass
from enum import Enum

from basilwall.records.ids import InstanceName, RequestId, SnapshotId


class MissingReason(Enum):
    """Why a part of the snapshot is missing from an answer."""

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
    """An instance whose records are not, or not all, in the answer."""

    instance: InstanceName
    reason: MissingReason
    records: int = 0

    @property
    def is_partial(self) -> bool:
        """True if the instance answered for some of its records only."""
        return self.reason is MissingReason.PARTIAL


@dataclass(frozen=True, slots=True)
class Coverage:
    """How much of the pinned snapshot's partition map an answer covers.

    `answered` and `total` count parts. The two record counts are sums over the
    parts; the size of a part is that in the catalogue or that reported by its
    searcher, whichever is larger.
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
        """The covered share of the snapshot, from 0 to 1.

        It is the lower of the share of parts that answered and the share of
        records that were searched.
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
    """An answer from one snapshot; `records` is a JSON array.

    `median_latency` is the time until half of the parts had answered, in
    seconds.
    """

    request_id: RequestId
    snapshot: SnapshotId
    coverage: Coverage
    records: bytes
    attempts: int
    median_latency: float = 0


class RefusalReason(Enum):
    """Why a request was refused."""

    UNKNOWN_SERVICE = 'unknown_service'
    OVERLOADED = 'overloaded'
    TOO_LATE = 'too_late'
    STOPPING = 'stopping'
    LOW_COVERAGE = 'low_coverage'
    NO_SNAPSHOT = 'no_snapshot'
    QUARANTINED = 'quarantined'


@dataclass(frozen=True, slots=True)
class Refusal:
    """The final result of a request that was refused or abandoned.

    `ran` is False only if no attempt can have run at any searcher, so True
    means that the request may have run.
    """

    request_id: RequestId
    reason: RefusalReason
    retry_after_ms: int
    ran: bool = False
    coverage: Coverage | None = None
