"""How far a query has come, and what its parts add up to.

Coverage is counted over the partition map of the pinned snapshot; a searcher
that looked at a part of its records only counts as missing the rest.
"""

from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass, field

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
    """How far one part of the pinned snapshot has come."""

    part: Part
    hedge_at: float
    jobs: list[AttemptJob] = field(default_factory=list)
    tried: set[SearcherAddress] = field(default_factory=set)
    answer: Answered | None = None
    reason: MissingReason = MissingReason.NO_SEARCHER


@dataclass(frozen=True, slots=True)
class Gathered:
    """What a scatter brought together; `half_wait` is in seconds."""

    answers: tuple[Answered, ...]
    coverage: Coverage
    attempts: int
    may_have_run: bool
    half_wait: float = 0


def gather(
    snapshot: Snapshot,
    ended: Sequence[PartProgress],
    attempts: int,
    may_have_run: bool,
    half_wait: float = 0,
) -> Gathered:
    """Add up the parts of a query that has ended.

    Args:
        snapshot: The pinned snapshot.
        ended: The progress of each of its parts.
        attempts: How many attempts were sent.
        may_have_run: Whether any of them may have run.
        half_wait: When half of the parts had ended, in seconds.

    Returns:
        The answers with their coverage.
    """
    answers = tuple(
        progress.answer for progress in ended if progress.answer is not None
    )
    full = sum(answer.covered >= answer.total for answer in answers)
    coverage = Coverage(
        answered=full,
        total=len(snapshot.parts),
        records_covered=sum(answer.covered for answer in answers),
        records_total=sum(part.records for part in snapshot.parts),
        missing=tuple(_missing(ended)),
    )
    return Gathered(answers, coverage, attempts, may_have_run, half_wait)


def _missing(ended: Iterable[PartProgress]) -> Iterator[MissingPart]:
    for progress in ended:
        part, answer = progress.part, progress.answer
        if answer is None:
            yield MissingPart(part.instance, progress.reason, part.records)
        elif answer.covered < answer.total:
            lacking = answer.total - answer.covered
            yield MissingPart(
                part.instance,
                MissingReason.PARTIAL,
                lacking,
            )
