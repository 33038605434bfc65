"""Progress of a running query and the coverage of its result.

Coverage is counted over the partition map of the pinned snapshot. If a
searcher looked at only some of its records, the others count as missing.
"""

from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass, field, replace

from basilwall.backend.pool import AttemptJob
from basilwall.records.answer import Coverage, MissingPart, MissingReason
from basilwall.records.attempt import Answered
from basilwall.records.catalogue import Part, Snapshot
from basilwall.records.ids import RequestId, SearcherAddress, ServiceName


@dataclass(frozen=True, slots=True)
class Query:
    """One admitted query; `deadline` is in monotonic seconds."""

    request_id: RequestId
    service: ServiceName
    body: bytes
    deadline: float


@dataclass(slots=True, eq=False)
class PartProgress:
    """Progress of a query on one part (shard) of the pinned snapshot."""

    part: Part
    hedge_at: float
    jobs: list[AttemptJob] = field(default_factory=list)
    tried_searchers: set[SearcherAddress] = field(default_factory=set)
    answer: Answered | None = None
    reason: MissingReason = MissingReason.NO_SEARCHER
    has_ended: bool = False

    def end(self) -> None:
        """End the part, with or without an answer, and cancel its attempts."""
        self.has_ended = True
        for job in self.jobs:
            job.cancel()

    @property
    def record_count(self) -> int:
        """Records of the part: the higher of the catalogue and the answer."""
        answered = self.answer.records_total if self.answer else 0
        return max(self.part.records, answered)

    @property
    def covered_count(self) -> int:
        """Records that the searcher looked at."""
        if self.answer is None:
            return 0
        return min(self.answer.records_covered, self.answer.records_total)

    @property
    def is_complete(self) -> bool:
        """Whether the answer covers all records of the part."""
        return (
            self.answer is not None and self.covered_count == self.record_count
        )


@dataclass(frozen=True, slots=True)
class ScatterResult:
    """Answers and coverage of one run of a query on one snapshot.

    `restart_snapshot` is the snapshot to restart the query on, if the run
    ended early for it. `median_latency` is the time until half of the parts
    had answered, in seconds.
    """

    answers: tuple[Answered, ...]
    coverage: Coverage
    attempts: int
    may_have_run: bool
    restart_snapshot: Snapshot | None = None
    is_quarantined: bool = False
    median_latency: float = 0


def gather(
    snapshot: Snapshot,
    ended: Sequence[PartProgress],
) -> tuple[tuple[Answered, ...], Coverage]:
    """Combine the answers of a query and compute its coverage.

    Args:
        snapshot: The pinned snapshot.
        ended: The progress of each of its parts.

    Returns:
        The answers, and how much of the snapshot they cover.
    """
    answers = tuple(
        progress.answer for progress in ended if progress.answer is not None
    )
    missing = tuple(_missing(ended))
    coverage = Coverage(
        answered=len(snapshot.parts) - len(missing),
        total=len(snapshot.parts),
        records_covered=sum(progress.covered_count for progress in ended),
        records_total=sum(progress.record_count for progress in ended),
        missing=missing,
    )
    return answers, coverage


def max_coverage_fraction(
    snapshot: Snapshot,
    ended: Sequence[PartProgress],
    still_open: Iterable[PartProgress],
) -> float:
    """Return the coverage if all open parts were to answer completely."""
    open_records = sum(progress.part.records for progress in still_open)
    _, coverage = gather(snapshot, ended)
    return replace(
        coverage,
        records_covered=coverage.records_covered + open_records,
        records_total=coverage.records_total + open_records,
    ).fraction


def _missing(ended: Iterable[PartProgress]) -> Iterator[MissingPart]:
    for progress in ended:
        if progress.is_complete:
            continue
        reason = progress.reason
        if progress.answer is not None:
            reason = MissingReason.PARTIAL
        yield MissingPart(
            progress.part.instance,
            reason,
            progress.record_count - progress.covered_count,
        )
