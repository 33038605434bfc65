"""Hedge and end times of queries, the outcome queue, congestion."""

import threading
import time

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from basilwall.backend.pool import AttemptJob
from basilwall.document.model import Document
from basilwall.query.congestion import is_congested
from basilwall.query.inbox import Inbox
from basilwall.query.policy import make_policy
from basilwall.query.progress import PartProgress
from basilwall.query.timing import QueryTiming
from basilwall.records.answer import (
    Coverage,
    MissingPart,
    MissingReason,
    QueryAnswer,
    Refusal,
    RefusalReason,
)
from basilwall.records.attempt import Answered, NotRun, OutcomeTag
from basilwall.records.catalogue import Part, Snapshot

#: The initial hedge delay of a document with this deadline is 0.3 s.
DEADLINE = 1.0
WHOLE = Answered('s:1', 's1', b'[]', 5, 5)
PARTIAL = Answered('s:1', 's1', b'[]', 4, 5)
PART = Part('i', ('s:1',), 5)
SETTINGS = settings(derandomize=True, max_examples=100, deadline=None)


def _make_timing(weighs, tolerated, parts):
    document = Document(
        service='a',
        weighs=weighs,
        tolerated_coverage=tolerated,
        deadline_ms=1000,
    )
    snapshot = Snapshot('s1', tuple(PART for _ in range(parts)))
    return QueryTiming(make_policy(document), 0, DEADLINE, snapshot)


@SETTINGS
@given(
    weighs=st.sampled_from(['tail', 'coverage']),
    tolerated=st.sampled_from([0.5, 0.8, 0.95, 1]),
    answers=st.lists(
        st.tuples(st.floats(0.001, 0.9), st.sampled_from([WHOLE, PARTIAL])),
        min_size=1,
        max_size=20,
    ),
)
def test_query_ends_early_only_with_tolerated_coverage(
    weighs,
    tolerated,
    answers,
):
    parts = len(answers)
    timing = _make_timing(weighs, tolerated, parts)
    records_covered = 0
    by_time = sorted(answers, key=lambda pair: pair[0])
    for count, (answered_at, answer) in enumerate(by_time, 1):
        timing.note_answer(answered_at, PartProgress(PART, 0, answer=answer))
        records_covered += answer.records_covered
        share = min(count / parts, records_covered / (parts * PART.records))
        ends_early = timing.ends_at < DEADLINE
        assert not ends_early or weighs == 'tail'
        assert not ends_early or share >= tolerated
        if weighs == 'tail' and share >= tolerated:
            assert timing.ends_at <= DEADLINE * 3 / 5
        assert 1 <= timing.answers_needed <= parts
    answer_times = sorted(answered_at for answered_at, _ in answers)
    assert timing.median_latency(DEADLINE) == answer_times[(parts + 1) // 2 - 1]


def test_inbox_wakes_consumer_only_when_it_has_to_act():
    inbox = Inbox()
    jobs = [AttemptJob(None, inbox.put) for _ in range(4)]
    assert inbox.take(3, 0.01) is None
    inbox.put(jobs[0], WHOLE)
    assert inbox.take(1, 0) == (jobs[0], WHOLE)
    inbox.put(jobs[1], WHOLE)
    shed = NotRun('s:2', OutcomeTag.SHED)
    inbox.put(jobs[2], shed)
    assert inbox.take(9, 60) == (jobs[1], WHOLE)
    assert inbox.take(9, 60) == (jobs[2], shed)


def test_failure_wakes_consumer_before_enough_answers():
    inbox = Inbox()
    shed = NotRun('s:2', OutcomeTag.SHED)
    job = AttemptJob(None, inbox.put)
    threading.Timer(0.05, inbox.put, (job, shed)).start()
    started = time.monotonic()
    assert inbox.take(9, 20) == (job, shed)
    assert int(time.monotonic() - started) < 10


def _coverage(answered, reason):
    missing = tuple(MissingPart('i', reason) for _ in range(10 - answered))
    return Coverage(answered, 10, 10 * answered, 100, missing)


@pytest.mark.parametrize(
    ('answered', 'reason', 'median_latency', 'congested'),
    [
        (10, MissingReason.DEADLINE, 0.04, False),
        (10, MissingReason.DEADLINE, 0.06, True),
        (9, MissingReason.DEADLINE, 0.04, False),
        (9, MissingReason.OVERLOADED, 0.04, True),
        (7, MissingReason.NO_SEARCHER, 0.04, False),
    ],
)
def test_congestion_needs_slow_half_or_shed_part(
    answered,
    reason,
    median_latency,
    congested,
):
    document = Document(service='a', deadline_ms=100)
    coverage = _coverage(answered, reason)
    answer = QueryAnswer('r', 's1', coverage, b'[]', 10, median_latency)
    assert is_congested(answer, document) == congested
    refusal = Refusal('r', RefusalReason.LOW_COVERAGE, 1, coverage=coverage)
    shed = reason is MissingReason.OVERLOADED
    assert is_congested(refusal, document) == shed
    unknown = Refusal('r', RefusalReason.NO_SNAPSHOT, 1)
    assert not is_congested(unknown, document)


def test_canary_answer_does_not_count_as_latency():
    timing = _make_timing('tail', 0.05, 10)
    timing.note_canary_answer(PartProgress(PART, 0, answer=WHOLE))
    assert timing.ends_at > DEADLINE / 2
    timing.note_answer(0.01, PartProgress(PART, 0, answer=WHOLE))
    assert timing.ends_at < DEADLINE / 10
