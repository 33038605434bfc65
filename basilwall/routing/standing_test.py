"""What is expected of a searcher by what was seen of it."""

from basilwall.parts.clock import ManualClock
from basilwall.records.searcher import Searcher
from basilwall.routing.standing import (
    FAILURE_HALF_LIFE,
    FIRST_BACKOFF,
    FIRST_WORK,
    STUCK_FOR,
    Standing,
)

FAR_TRIP = 0.04
NEAR_TRIP = 0.001


def make(clock, trip=NEAR_TRIP, cold_for=0):
    searcher = Searcher('i', 's', '1.1.1.1:1', 'z', 2, False, cold_for, 0)
    return Standing(searcher, clock, trip)


def serve(clock, standing, seconds, times=1):
    for _ in range(times):
        number = standing.sent()
        clock.advance(seconds)
        standing.ended(number)
        standing.replied(seconds)


def test_the_near_searcher_is_expected_first_until_it_is_slow():
    clock = ManualClock()
    near, far = make(clock), make(clock, FAR_TRIP)
    assert near.expected() < far.expected()
    serve(clock, near, 0.1, times=6)
    assert near.expected() > far.expected()
    clock.advance(20)
    assert near.expected() < far.expected()


def test_one_long_pause_does_not_make_a_searcher_slow():
    clock = ManualClock()
    near, far = make(clock), make(clock, FAR_TRIP)
    serve(clock, near, 0.01, times=20)
    serve(clock, near, 0.2)
    assert near.expected() < far.expected()


def test_a_late_reply_makes_a_searcher_stuck_until_the_next_reply():
    clock = ManualClock()
    near, far = make(clock), make(clock, FAR_TRIP)
    serve(clock, near, 0.01, times=20)
    first = near.sent()
    clock.advance(0.2)
    assert near.is_stuck(clock.monotonic())
    assert near.expected() > far.expected()
    near.ended(first)
    assert near.is_stuck(clock.monotonic())
    near.replied(0.2)
    assert not near.is_stuck(clock.monotonic())


def test_a_silent_searcher_is_tried_again_after_a_while():
    clock = ManualClock()
    near = make(clock)
    number = near.sent()
    clock.advance(0.2)
    assert near.is_stuck(clock.monotonic())
    near.ended(number)
    clock.advance(STUCK_FOR + 0.1)
    assert not near.is_stuck(clock.monotonic())


def test_a_refusing_searcher_is_passed_over_longer_each_time():
    clock = ManualClock()
    near = make(clock)
    spans = []
    for _ in range(3):
        near.refused()
        began = clock.monotonic()
        while near.is_refusing:
            clock.advance(0.05)
        spans.append(clock.monotonic() - began)
    assert spans == sorted(spans)
    assert spans[0] < spans[2]


def test_a_cold_searcher_is_expected_to_take_longer():
    clock = ManualClock()
    cold = make(clock, cold_for=3)
    assert cold.expected() > NEAR_TRIP + FIRST_WORK
    clock.advance(4)
    assert cold.expected() == NEAR_TRIP + FIRST_WORK


def test_a_far_searcher_goes_before_a_near_one_that_often_fails():
    clock = ManualClock()
    near, far = make(clock), make(clock, FAR_TRIP)
    for _ in range(8):
        near.refused()
        clock.advance(2 * FIRST_BACKOFF)
        near.refused()
        clock.advance(2 * FIRST_BACKOFF)
        serve(clock, near, 0.01)
    assert not near.is_refusing
    assert near.expected() > far.expected()
    clock.advance(5 * FAILURE_HALF_LIFE)
    assert near.expected() < far.expected()


def test_a_single_failure_is_soon_made_up_for():
    clock = ManualClock()
    near, far = make(clock), make(clock, FAR_TRIP)
    near.failed()
    serve(clock, near, 0.01, times=3)
    assert near.expected() < far.expected()
