"""Tests of which answers say that a request has not run."""

import random

import pytest

from basilwall.forwarding.answers import AnswerBuilder
from basilwall.forwarding.subrequest import SubRequest
from basilwall.records.forwarding import Reply, Verdict
from basilwall.records.routes import RetrySafety, Route, ScatterGather

SHARDS = ('a', 'b', 'c', 'd')
SECONDS_UNTIL_USABLE = 0.7
SCATTERED = Route(
    'r',
    'h',
    b'/',
    RetrySafety.IDEMPOTENT,
    2,
    2,
    1,
    0,
    scatter_gather=ScatterGather(SHARDS, 5, 0.75),
)
SINGLE = Route('r', 'h', b'/', RetrySafety.AT_MOST_ONCE, 2, 2, 1, 0)
SUCCESS = Reply('i', 200, b'', (), b'', b'd', True)


class SelectorStub:
    """Expects all services to be usable again after a while."""

    def seconds_until_usable(self, _):
        return SECONDS_UNTIL_USABLE


def answer(route, *subrequests):
    return AnswerBuilder(SelectorStub(), random.Random(1)).of(
        subrequests, route
    )


def scattered(**of_first):
    parts = [SubRequest(shard, 0) for shard in SHARDS]
    for name, held in of_first.items():
        setattr(parts[0], name, held)
    return parts


@pytest.mark.parametrize('has_ended', [True, False])
def test_a_request_that_reached_no_searcher_is_refused_with_a_time(has_ended):
    for route, parts in (
        (SCATTERED, scattered(has_ended=has_ended)),
        (SINGLE, [SubRequest('a', 0, has_ended=has_ended)]),
    ):
        refused = answer(route, *parts)
        assert (refused.verdict, refused.status) == (Verdict.NOT_RUN, 503)
        assert refused.retry_after >= SECONDS_UNTIL_USABLE


@pytest.mark.parametrize(
    'of_first', [{'may_have_run': True}, {'success': SUCCESS}]
)
def test_a_request_that_may_have_run_is_never_refused_as_not_run(of_first):
    parts = scattered(has_ended=True, **of_first)
    for part in parts:
        part.has_ended = True
    assert answer(SCATTERED, *parts).status == 502
    single = SubRequest('a', 0, may_have_run=True)
    assert answer(SINGLE, single).status == 504
