"""Adaptive limits and shares, compared with a plain count of requests."""

import random

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from basilwall.parts.clock import ManualClock
from basilwall.parts.limiter import (
    DECREASE_INTERVAL_SECONDS,
    AdaptiveLimit,
    LimitBounds,
    WeightedShares,
)

WEIGHTS = {'high': 6, 'middle': 2, 'low': 1}
SETTINGS = settings(
    derandomize=True,
    max_examples=60,
    stateful_step_count=60,
    deadline=None,
)
names = st.sampled_from(sorted(WEIGHTS))


class SharesMachine(RuleBasedStateMachine):
    """Requests of three classes in any order, under a changing limit."""

    def __init__(self):
        super().__init__()
        self.clock = ManualClock()
        self.shares = WeightedShares(self.clock)
        self.active_requests = []
        self.requested_at = {}

    @rule(name=names, limit=st.floats(1, 20))
    def acquire_place(self, name, limit):
        now = self.clock.monotonic()
        self.requested_at[name] = now
        active = [
            other_name
            for other_name in WEIGHTS
            if self.is_active(other_name, now)
        ]
        total = sum(WEIGHTS[other_name] for other_name in active)
        guaranteed = max(1, limit * WEIGHTS[name] / total)
        has_room = len(self.active_requests) + 1 <= limit
        entered = self.shares.try_acquire(name, WEIGHTS, limit)
        assert not entered or has_room
        if has_room and self.active_requests.count(name) + 1 <= guaranteed:
            assert entered, 'refused below its guaranteed share'
        if has_room and active == [name]:
            assert entered, 'an idle share was not lent'
        if entered:
            self.active_requests.append(name)

    @rule(choice=st.randoms(use_true_random=False))
    def release_place(self, choice):
        if self.active_requests:
            name = self.active_requests.pop(
                choice.randrange(len(self.active_requests))
            )
            self.shares.release(name)

    @rule(seconds=st.sampled_from([0.1, 1.5]))
    def wait(self, seconds):
        self.clock.advance(seconds)

    @invariant()
    def counts_agree(self):
        assert self.shares.in_flight == len(self.active_requests)
        for name in WEIGHTS:
            assert self.shares.in_flight_of(name) == self.active_requests.count(
                name
            )

    def is_active(self, name, now):
        return now - self.requested_at.get(name, -9) <= 1


class LimitMachine(RuleBasedStateMachine):
    """Congested and uncongested requests in any order."""

    def __init__(self):
        super().__init__()
        self.clock = ManualClock()
        self.limit = AdaptiveLimit(LimitBounds(2, 8, 40), self.clock)
        self.decreased_at = -9

    @rule(in_flight=st.integers(0, 60))
    def uncongested(self, in_flight):
        before = self.limit.limit
        self.limit.record_completion(in_flight, is_congested=False)
        increase = self.limit.limit - before
        assert 0 <= increase <= 1 / before + 1e-9
        if in_flight < before / 2:
            assert not increase

    @rule()
    def congested(self):
        before = self.limit.limit
        self.limit.record_completion(9, is_congested=True)
        now = self.clock.monotonic()
        if now - self.decreased_at < DECREASE_INTERVAL_SECONDS:
            assert self.limit.limit == before
        else:
            self.decreased_at = now
            assert self.limit.limit == pytest.approx(max(2, before * 17 / 20))

    @rule(seconds=st.sampled_from([0.01, 0.2]))
    def wait(self, seconds):
        self.clock.advance(seconds)

    @invariant()
    def stays_in_bounds(self):
        assert 2 <= self.limit.limit <= 40


SharesMachine.TestCase.settings = SETTINGS
LimitMachine.TestCase.settings = SETTINGS
TestShares = SharesMachine.TestCase
TestLimit = LimitMachine.TestCase


def test_a_limit_under_overload_is_divided_by_weight():
    clock, rng = ManualClock(), random.Random(3)
    shares, active_requests, taken = (
        WeightedShares(clock),
        [],
        dict.fromkeys(WEIGHTS, 0),
    )
    for _ in range(20_000):
        name = rng.choice(sorted(WEIGHTS))
        if shares.try_acquire(name, WEIGHTS, 18):
            active_requests.append(name)
            taken[name] += 1
        if len(active_requests) == 18 or rng.randrange(10) < 3:
            shares.release(
                active_requests.pop(rng.randrange(len(active_requests)))
            )
        clock.advance(0.001)
    assert taken['high'] > 2 * taken['middle']
    assert 2 * taken['middle'] > 3 * taken['low']
    assert taken['low']


def test_two_limits_over_the_same_slots_converge():
    clock = ManualClock()
    bounds = LimitBounds(2, 8, 64)
    limits = [AdaptiveLimit(bounds, clock) for _ in range(2)]
    for _ in range(30):
        limits[0].record_completion(64, is_congested=False)
    for _ in range(4000):
        used = [limit.limit for limit in limits]
        for limit, in_flight in zip(limits, used, strict=True):
            limit.record_completion(int(in_flight), is_congested=sum(used) > 40)
        clock.advance(0.02)
    assert sum(used) <= 44
    assert 5 * min(used) > 4 * max(used)
