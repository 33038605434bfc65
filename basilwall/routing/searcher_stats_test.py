"""Tests of the expected response time by recorded results."""

from basilwall.parts.clock import ManualClock
from basilwall.records.searcher import Searcher
from basilwall.routing.searcher_stats import (
    FAILURE_HALF_LIFE_SECONDS,
    INITIAL_BACKOFF_SECONDS,
    INITIAL_WORK_SECONDS,
    STUCK_RETRY_SECONDS,
    SearcherStats,
)

FAR_ROUND_TRIP = 0.04
NEAR_ROUND_TRIP = 0.001


def make(clock, round_trip=NEAR_ROUND_TRIP, warmup_seconds=0):
    searcher = Searcher('i', 's', '1.1.1.1:1', 'z', 2, False, warmup_seconds, 0)
    return SearcherStats(searcher, clock, round_trip)


def serve(clock, stats, seconds, times=1):
    for _ in range(times):
        number = stats.record_sent()
        clock.advance(seconds)
        stats.record_ended(number)
        stats.record_reply(seconds)


def test_the_near_searcher_is_expected_faster_until_it_is_slow():
    clock = ManualClock()
    near, far = make(clock), make(clock, FAR_ROUND_TRIP)
    assert near.expected_seconds(clock.monotonic()) < far.expected_seconds(
        clock.monotonic()
    )
    serve(clock, near, 0.1, times=6)
    assert near.expected_seconds(clock.monotonic()) > far.expected_seconds(
        clock.monotonic()
    )
    clock.advance(20)
    assert near.expected_seconds(clock.monotonic()) < far.expected_seconds(
        clock.monotonic()
    )


def test_one_long_pause_does_not_make_a_searcher_slow():
    clock = ManualClock()
    near, far = make(clock), make(clock, FAR_ROUND_TRIP)
    serve(clock, near, 0.01, times=20)
    serve(clock, near, 0.2)
    assert near.expected_seconds(clock.monotonic()) < far.expected_seconds(
        clock.monotonic()
    )


def test_a_late_reply_makes_a_searcher_stuck_until_the_next_reply():
    clock = ManualClock()
    near, far = make(clock), make(clock, FAR_ROUND_TRIP)
    serve(clock, near, 0.01, times=20)
    first = near.record_sent()
    clock.advance(0.2)
    assert near.is_stuck(clock.monotonic())
    assert near.expected_seconds(clock.monotonic()) > far.expected_seconds(
        clock.monotonic()
    )
    near.record_ended(first)
    assert near.is_stuck(clock.monotonic())
    near.record_reply(0.2)
    assert not near.is_stuck(clock.monotonic())


def test_a_silent_searcher_is_tried_again_after_a_while():
    clock = ManualClock()
    near = make(clock)
    number = near.record_sent()
    clock.advance(0.2)
    assert near.is_stuck(clock.monotonic())
    near.record_ended(number)
    clock.advance(STUCK_RETRY_SECONDS + 0.1)
    assert not near.is_stuck(clock.monotonic())


def test_the_backoff_of_a_refusing_searcher_grows():
    clock = ManualClock()
    near = make(clock)
    backoffs = []
    for _ in range(3):
        near.record_refusal()
        began = clock.monotonic()
        while near.is_backing_off:
            clock.advance(0.05)
        backoffs.append(clock.monotonic() - began)
    assert backoffs == sorted(backoffs)
    assert backoffs[0] < backoffs[2]


def test_a_cold_searcher_is_expected_to_take_longer():
    clock = ManualClock()
    cold = make(clock, warmup_seconds=3)
    assert (
        cold.expected_seconds(clock.monotonic())
        > NEAR_ROUND_TRIP + INITIAL_WORK_SECONDS
    )
    clock.advance(4)
    assert (
        cold.expected_seconds(clock.monotonic())
        == NEAR_ROUND_TRIP + INITIAL_WORK_SECONDS
    )


def test_a_far_searcher_is_preferred_to_a_near_one_that_often_fails():
    clock = ManualClock()
    near, far = make(clock), make(clock, FAR_ROUND_TRIP)
    for _ in range(8):
        near.record_refusal()
        clock.advance(2 * INITIAL_BACKOFF_SECONDS)
        near.record_refusal()
        clock.advance(2 * INITIAL_BACKOFF_SECONDS)
        serve(clock, near, 0.01)
    assert not near.is_backing_off
    assert near.expected_seconds(clock.monotonic()) > far.expected_seconds(
        clock.monotonic()
    )
    clock.advance(5 * FAILURE_HALF_LIFE_SECONDS)
    assert near.expected_seconds(clock.monotonic()) < far.expected_seconds(
        clock.monotonic()
    )


def test_a_single_failure_is_outweighed_by_a_few_replies():
    clock = ManualClock()
    near, far = make(clock), make(clock, FAR_ROUND_TRIP)
    near.record_failure()
    serve(clock, near, 0.01, times=3)
    assert near.expected_seconds(clock.monotonic()) < far.expected_seconds(
        clock.monotonic()
    )
