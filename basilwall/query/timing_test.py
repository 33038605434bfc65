"""How long a query waits, by the word in its document."""

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

#: The hedge delay of a document with this deadline is 0.3 s at first.
DEADLINE = 1.0
WHOLE = Answered('s:1', 's1', b'[]', 5, 5)
PARTIAL = Answered('s:1', 's1', b'[]', 4, 5)
PART = Part('i', ('s:1',), 5)
SETTINGS = settings(derandomize=True, max_examples=100, deadline=None)


def _patience(weighs, tolerated, parts):
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
def test_a_query_ends_early_only_with_what_is_tolerated(
    weighs,
    tolerated,
    answers,
):
    parts = len(answers)
    patience = _patience(weighs, tolerated, parts)
    records_covered = 0
    in_time = sorted(answers, key=lambda one: one[0])
    for count, (at, answer) in enumerate(in_time, 1):
        patience.note_answer(at, PartProgress(PART, 0, answer=answer))
        records_covered += answer.records_covered
        share = min(count / parts, records_covered / (parts * PART.records))
        early = patience.ends_at < DEADLINE
        assert not early or weighs == 'tail'
        assert not early or share >= tolerated
        if weighs == 'tail' and share >= tolerated:
            assert patience.ends_at <= DEADLINE * 3 / 5
        assert 1 <= patience.answers_needed <= parts
    times = sorted(at for at, _ in answers)
    assert patience.half_wait(DEADLINE) == times[(parts + 1) // 2 - 1]


def test_the_taker_is_woken_when_it_matters():
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


def test_a_failure_wakes_a_taker_that_awaits_more():
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
    ('answered', 'reason', 'half_wait', 'congested'),
    [
        (10, MissingReason.DEADLINE, 0.04, False),
        (10, MissingReason.DEADLINE, 0.06, True),
        (9, MissingReason.DEADLINE, 0.04, False),
        (9, MissingReason.OVERLOADED, 0.04, True),
        (7, MissingReason.NO_SEARCHER, 0.04, False),
    ],
)
def test_only_a_slow_half_or_a_shed_part_is_congestion(
    answered,
    reason,
    half_wait,
    congested,
):
    document = Document(service='a', deadline_ms=100)
    coverage = _coverage(answered, reason)
    answer = QueryAnswer('r', 's1', coverage, b'[]', 10, half_wait)
    assert is_congested(answer, document) == congested
    refusal = Refusal('r', RefusalReason.LOW_COVERAGE, 1, coverage=coverage)
    shed = reason is MissingReason.OVERLOADED
    assert is_congested(refusal, document) == shed
    unknown = Refusal('r', RefusalReason.NO_SNAPSHOT, 1)
    assert not is_congested(unknown, document)


def test_the_answer_of_a_single_searcher_before_is_no_measure_of_time():
    patience = _patience('tail', 0.05, 10)
    patience.note_canary_answer(PartProgress(PART, 0, answer=WHOLE))
    assert patience.ends_at > DEADLINE / 2
    patience.note_answer(0.01, PartProgress(PART, 0, answer=WHOLE))
    assert patience.ends_at < DEADLINE / 10
