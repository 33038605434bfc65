"""Tests of the share that one VM takes of a common rate."""

import random

import pytest

from basilwall.parts.clock import ManualClock
from basilwall.parts.rate_share import RateShare, TurnClock

STEP_SECONDS = 0.05


def make(seed=1, phase=0):
    clock = ManualClock()
    return RateShare(TurnClock(clock, random.Random(seed)), phase), clock


def taken_at(share, clock, rate, seconds):
    """Take whatever is allowed for some time; return when."""
    times = []
    for _ in range(int(seconds / STEP_SECONDS)):
        while share.take(rate):
            times.append(clock.monotonic())
        clock.advance(STEP_SECONDS)
    return times


@pytest.mark.parametrize('rate', [0.07, 0.5, 1, 1.9, 12.3])
def test_the_mean_is_the_rate(rate):
    share, clock = make()
    taken = taken_at(share, clock, rate, 200)
    assert len(taken) == pytest.approx(rate * 200, abs=1 + rate)


def test_idle_vms_do_not_save_up_requests():
    fleet = [make(seed) for seed in range(100)]
    rate = 0.1
    taken = 0
    for share, clock in fleet:
        clock.advance(60)
        taken += len(taken_at(share, clock, rate, 4))
    assert taken <= len(fleet) * rate * 6 + 5


def test_the_time_until_the_next_request_is_true():
    share, clock = make()
    while share.take(0.3):
        clock.advance(0)
    seconds = share.seconds_until_room(0.3)
    clock.advance(seconds - 0.01)
    assert not share.has_room(0.3)
    clock.advance(0.02)
    assert share.has_room(0.3)


def test_a_request_that_is_given_back_may_be_taken_again():
    share, clock = make()
    clock.advance(share.seconds_until_room(0.5))
    assert share.take(0.5)
    assert not share.take(0.5)
    share.give_back()
    assert share.take(0.5)
