"""Tests of which parts of a query are hedged or retried, and when."""

import math

from basilwall.forwarding.extra_attempt_canary import (
    MAX_HOLD_SECONDS,
    ExtraAttemptCanary,
)
from basilwall.forwarding.subrequest import SubRequest
from basilwall.parts.clock import ManualClock

SHARDS = 10


class Query:
    """A query with one attempt in flight at each shard."""

    def __init__(self):
        self.clock = ManualClock()
        self.retried = []
        self.can_retry = True
        self.subrequests = [SubRequest(f's{one}', 0) for one in range(SHARDS)]
        self.in_flight = list(self.subrequests)
        self.steps = []
        self.canary = ExtraAttemptCanary(
            self._retry,
            self.in_flight,
            lambda _: 0,
            lambda *step: self.steps.append(step),
            self.clock,
            is_scattered=True,
        )

    def lose(self, *subrequests):
        """Lose the connections of some subrequests, all read at once."""
        for subrequest in subrequests:
            self.in_flight.remove(subrequest)
            self.canary.note_loss(subrequest)
        self.canary.settle()

    def answer(self, subrequest):
        """Let a searcher answer."""
        self.in_flight.remove(subrequest)
        subrequest.has_ended = True
        self.canary.note_answer()
        self.canary.settle()

    def fail(self, subrequest):
        """Let an attempt fail for good with its connection kept."""
        self.in_flight.remove(subrequest)
        subrequest.has_ended = True
        self.canary.note_failure(subrequest)
        self.canary.settle()

    def _retry(self, subrequest):
        if self.can_retry:
            self.retried.append(subrequest)
            self.in_flight.append(subrequest)
        return self.can_retry


def test_a_content_that_crashes_searchers_ends_one_more_than_shards():
    query = Query()
    first, *others = query.subrequests
    query.lose(first)
    assert not query.retried
    query.lose(*others)
    assert query.retried == query.in_flight == [first]
    query.lose(first)
    assert query.retried == [first]
    assert all(subrequest.has_ended for subrequest in query.subrequests)
    assert [step[0] for step in query.steps] == [*others, first]


def test_such_a_content_is_hedged_at_one_shard_only():
    query = Query()
    assert 0 < query.canary.hedge_wait < MAX_HOLD_SECONDS
    first, *others = query.subrequests
    query.canary.note_hedge(first)
    assert query.canary.hedge_wait == math.inf
    query.lose(*others, first)
    assert not query.retried
    assert all(subrequest.has_ended for subrequest in query.subrequests)


def test_after_an_outage_all_parts_are_retried_once_one_has_answered():
    query = Query()
    query.lose(*query.subrequests)
    assert query.retried == query.subrequests[:1]
    query.answer(query.subrequests[0])
    assert query.retried == query.subrequests
    assert not query.canary.hedge_wait


def test_a_lost_part_is_retried_at_once_if_another_has_answered():
    query = Query()
    first, second, third, *_ = query.subrequests
    query.answer(first)
    query.lose(second, third)
    assert query.retried == [second, third]


def test_a_lost_part_is_retried_when_another_answers():
    query = Query()
    first, second, *_ = query.subrequests
    query.lose(first)
    query.answer(second)
    assert query.retried == [first]


def test_an_answer_read_together_with_losses_speaks_for_the_content():
    query = Query()
    first, second, third, *_ = query.subrequests
    for subrequest in (first, second):
        query.in_flight.remove(subrequest)
        query.canary.note_loss(subrequest)
    query.answer(third)
    assert query.retried == [first, second]


def test_silent_searchers_do_not_hold_up_a_retry():
    query = Query()
    first = query.subrequests[0]
    query.lose(first)
    query.clock.advance(MAX_HOLD_SECONDS)
    query.canary.settle()
    assert query.retried == [first]
    query.clock.advance(MAX_HOLD_SECONDS)
    query.canary.settle()
    assert not query.canary.hedge_wait


def test_another_part_goes_first_if_the_canary_has_no_searcher_left():
    query = Query()
    first, second, *_ = query.subrequests
    query.lose(*query.subrequests)
    query.fail(first)
    assert query.retried == [first, second]


def test_parts_that_can_not_be_retried_end_at_once():
    query = Query()
    query.can_retry = False
    query.lose(*query.subrequests)
    assert all(subrequest.has_ended for subrequest in query.subrequests)
