"""Tests of searchers that name a limit on the rate of their requests."""

import pytest

from basilwall.simulation.callers import simulate_deployment
from basilwall.simulation.scenarios import (
    MODELS_BY_NAME,
    QASR_AL_JAMR,
    TRANSANDINA,
    TRANSANDINA_GROWN,
    Fault,
    FaultKind,
    Scenario,
)

SECONDS = 10
LIMITED_FROM = 1
#: The users count from this long after a limit was first named, in windows of
#: this length, and allow this much beyond the limit.
STABLE_SECONDS = 5
WINDOW_SECONDS = 4
ALLOWED_FACTOR = 1.5
ALLOWED_REQUESTS = 5


def usual_rate(model):
    """Return the rate of each searcher if the replicas share all requests."""
    return sum(kind.rate for kind in model.kinds) / model.replicas


def run_limited(model, limits, share=1, **scenario):
    """Limit a share of the searchers of each shard.

    `limits` are the start, the end and the requests per second of each limit.
    """
    faults = tuple(
        Fault(FaultKind.LIMIT, start, end, share, limit)
        for start, end, limit in limits
    )
    report, deployment = simulate_deployment(
        Scenario(model, SECONDS, faults=faults, **scenario)
    )
    searchers = deployment.searcher_by_id.values()
    return report, [searcher for searcher in searchers if searcher.faults]


def busiest_window(searcher, start):
    """Return the most requests that arrived in a window after `start`."""
    counted = [at for at in searcher.arrivals if at >= start]
    return max(
        (
            sum(1 for at in counted if first <= at < first + WINDOW_SECONDS)
            for first in counted
        ),
        default=0,
    )


def check_limit(limited, limit):
    allowed = limit * ALLOWED_FACTOR * WINDOW_SECONDS + ALLOWED_REQUESTS
    assert limited
    for searcher in limited:
        stable_from = LIMITED_FROM + STABLE_SECONDS
        assert busiest_window(searcher, stable_from) <= allowed


@pytest.mark.parametrize('model', MODELS_BY_NAME.values(), ids=MODELS_BY_NAME)
@pytest.mark.parametrize('share', [0.7, 1])
def test_a_searcher_gets_no_more_requests_than_it_takes_from_all_vms(
    model, share
):
    limit = usual_rate(model) / 2
    _, limited = run_limited(model, [(LIMITED_FROM, SECONDS, limit)], share)
    check_limit(limited, limit)


@pytest.mark.parametrize('model', [QASR_AL_JAMR, TRANSANDINA_GROWN])
@pytest.mark.parametrize('limit', [0, 0.5, 3])
def test_a_limit_below_a_request_for_each_vm_holds(model, limit):
    _, limited = run_limited(model, [(LIMITED_FROM, SECONDS, limit)], 0.7)
    check_limit(limited, limit)


@pytest.mark.parametrize('model', [QASR_AL_JAMR, TRANSANDINA_GROWN])
@pytest.mark.parametrize(
    'load', [{'first_zone_factor': 6}, {'load_factor': 2.5}]
)
def test_a_limit_holds_under_a_burst_and_uneven_traffic(model, load):
    limit = usual_rate(model) / 3
    limits = [(LIMITED_FROM, SECONDS, limit)]
    _, limited = run_limited(model, limits, 0.7, **load)
    check_limit(limited, limit)


def test_a_limit_that_falls_holds_at_once():
    high, low = usual_rate(TRANSANDINA) / 2, 2
    _, limited = run_limited(TRANSANDINA, [(1, 5, high), (5, SECONDS, low)])
    allowed = low * ALLOWED_FACTOR * WINDOW_SECONDS + ALLOWED_REQUESTS
    for searcher in limited:
        assert busiest_window(searcher, 5.5) <= allowed


def test_searchers_get_their_requests_again_when_their_limit_ends():
    limits = [(LIMITED_FROM, 2, 0.5)]
    report, _ = run_limited(TRANSANDINA, limits)
    usual, _ = run_limited(TRANSANDINA, [])
    for second in (8, 9):
        worth = report.worth_by_second[second]
        assert worth > usual.worth_by_second[second] / 2


@pytest.mark.parametrize('model', MODELS_BY_NAME.values(), ids=MODELS_BY_NAME)
def test_requests_get_what_the_limits_of_all_searchers_leave(model):
    """Each request needs nearly all shards, all of which are limited."""
    limit = usual_rate(model) / 2
    report, _ = run_limited(model, [(0, SECONDS, limit)])
    kinds = report.by_kind.values()
    asked = sum(kind.asked for kind in kinds)
    answered = sum(kind.in_time + kind.late for kind in kinds)
    assert answered > 0.3 * asked
    assert not sum(kind.failed for kind in kinds)
