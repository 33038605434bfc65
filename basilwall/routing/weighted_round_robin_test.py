"""Turns against the parts that the weights ask for."""

from collections import Counter

from hypothesis import given
from hypothesis import strategies as st

from basilwall.records.routes import RetrySafety, Route, WeightedService
from basilwall.routing.weighted_round_robin import WeightedRoundRobin

WEIGHTS = st.lists(st.integers(0, 9), min_size=1, max_size=4)


def route(weights):
    shares = tuple(
        WeightedService(f's{place}', weight)
        for place, weight in enumerate(weights)
    )
    return Route('r', 'h', b'/', RetrySafety.IDEMPOTENT, 1, 1, 1, 0, shares)


@given(WEIGHTS.filter(any), st.integers(1, 120))
def test_each_service_is_close_to_its_part(weights, requests):
    turns, made = WeightedRoundRobin(), route(weights)
    taken = Counter(turns.next_service(made) for _ in range(requests))
    for place, weight in enumerate(weights):
        part = requests * weight / sum(weights)
        assert abs(taken[f's{place}'] - part) <= len(weights)


def test_new_weights_begin_anew():
    turns = WeightedRoundRobin()
    for _ in range(10):
        turns.next_service(route([1, 1]))
    taken = [turns.next_service(route([0, 1])) for _ in range(5)]
    assert set(taken) == {'s1'}
