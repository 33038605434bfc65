"""Limits against a plain count of what is in flight."""

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
    """Any order of requests of three classes under a limit that moves."""

    def __init__(self):
        super().__init__()
        self.clock = ManualClock()
        self.shares = WeightedShares(self.clock)
        self.held = []
        self.asked_at = {}

    @rule(name=names, limit=st.floats(1, 20))
    def enter(self, name, limit):
        now = self.clock.monotonic()
        self.asked_at[name] = now
        active = [one for one in WEIGHTS if self.is_active(one, now)]
        total = sum(WEIGHTS[one] for one in active)
        due = max(1, limit * WEIGHTS[name] / total)
        has_room = len(self.held) + 1 <= limit
        entered = self.shares.try_acquire(name, WEIGHTS, limit)
        assert not entered or has_room
        if has_room and self.held.count(name) + 1 <= due:
            assert entered, 'refused below its guaranteed share'
        if has_room and active == [name]:
            assert entered, 'an idle share was not lent'
        if entered:
            self.held.append(name)

    @rule(choice=st.randoms(use_true_random=False))
    def leave(self, choice):
        if self.held:
            name = self.held.pop(choice.randrange(len(self.held)))
            self.shares.release(name)

    @rule(seconds=st.sampled_from([0.1, 1.5]))
    def wait(self, seconds):
        self.clock.advance(seconds)

    @invariant()
    def counts_agree(self):
        assert self.shares.in_flight == len(self.held)
        for name in WEIGHTS:
            assert self.shares.in_flight_of(name) == self.held.count(name)

    def is_active(self, name, now):
        return now - self.asked_at.get(name, -9) <= 1


class LimitMachine(RuleBasedStateMachine):
    """Any order of good and congested requests."""

    def __init__(self):
        super().__init__()
        self.clock = ManualClock()
        self.limit = AdaptiveLimit(LimitBounds(2, 8, 40), self.clock)
        self.decreased_at = -9

    @rule(in_flight=st.integers(0, 60))
    def good(self, in_flight):
        before = self.limit.limit
        self.limit.record_completion(in_flight, congested=False)
        grown = self.limit.limit - before
        assert 0 <= grown <= 1 / before + 1e-9
        if in_flight < before / 2:
            assert not grown

    @rule()
    def congested(self):
        before = self.limit.limit
        self.limit.record_completion(9, congested=True)
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


def test_overload_is_divided_by_weight():
    clock, source = ManualClock(), random.Random(3)
    shares, held, taken = WeightedShares(clock), [], dict.fromkeys(WEIGHTS, 0)
    for _ in range(20_000):
        name = source.choice(sorted(WEIGHTS))
        if shares.try_acquire(name, WEIGHTS, 18):
            held.append(name)
            taken[name] += 1
        if len(held) == 18 or source.randrange(10) < 3:
            shares.release(held.pop(source.randrange(len(held))))
        clock.advance(0.001)
    assert taken['high'] > 2 * taken['middle']
    assert 2 * taken['middle'] > 3 * taken['low']
    assert taken['low']


def test_two_limits_over_the_same_slots_settle_near_each_other():
    clock = ManualClock()
    bounds = LimitBounds(2, 8, 64)
    limits = [AdaptiveLimit(bounds, clock) for _ in range(2)]
    for _ in range(30):
        limits[0].record_completion(64, congested=False)
    for _ in range(4000):
        used = [limit.limit for limit in limits]
        for limit, in_flight in zip(limits, used, strict=True):
            limit.record_completion(int(in_flight), congested=sum(used) > 40)
        clock.advance(0.02)
    assert sum(used) <= 44
    assert 5 * min(used) > 4 * max(used)
