"""Tests that services get requests in proportion to their weights."""

from collections import Counter

from hypothesis import given
from hypothesis import strategies as st

from basilwall.records.routes import RetrySafety, Route, WeightedService
from basilwall.routing.weighted_round_robin import WeightedRoundRobin

WEIGHTS = st.lists(st.integers(0, 9), min_size=1, max_size=4)


def route(weights):
    shares = tuple(
        WeightedService(f's{index}', weight)
        for index, weight in enumerate(weights)
    )
    return Route('r', 'h', b'/', RetrySafety.IDEMPOTENT, 1, 1, 1, 0, shares)


@given(WEIGHTS.filter(any), st.integers(1, 120))
def test_each_service_is_close_to_its_share(weights, requests):
    round_robin, created_route = WeightedRoundRobin(), route(weights)
    chosen = Counter(
        round_robin.next_service(created_route) for _ in range(requests)
    )
    for index, weight in enumerate(weights):
        expected = requests * weight / sum(weights)
        assert abs(chosen[f's{index}'] - expected) <= len(weights)


def test_new_weights_start_without_credit():
    round_robin = WeightedRoundRobin()
    for _ in range(10):
        round_robin.next_service(route([1, 1]))
    chosen = [round_robin.next_service(route([0, 1])) for _ in range(5)]
    assert set(chosen) == {'s1'}
