"""Tests of the choice of a searcher for an attempt."""

import random

import pytest

from basilwall.parts.clock import ManualClock
from basilwall.records.forwarding import Reply
from basilwall.records.searcher import Searcher
from basilwall.routing.location import RoundTripTimes, VmLocation
from basilwall.routing.rate_limiter import RateLimiter
from basilwall.routing.searcher_stats import MAX_DOWN_SECONDS
from basilwall.routing.selection import ConnectionAvailability, SearcherSelector

OWN_ZONE = 'z1'
REGIONS = {OWN_ZONE: 'r1', 'z2': 'r2', 'z3': 'r3'}


class AvailabilityStub(ConnectionAvailability):
    """Availability of connections as set by a test."""

    def __init__(self):
        self.idle = set()
        self.full = set()

    def has_idle_connection(self, searcher):
        return searcher.searcher_id in self.idle

    def may_open_connection(self, searcher):
        return searcher.searcher_id not in self.full


class RoutingStateStub:
    """A stub of the routing state with the searchers of a test."""

    def __init__(self, *searchers):
        self.by_id = {each.searcher_id: each for each in searchers}

    def searchers(self, _):
        return tuple(self.by_id.values())

    def all_searchers(self):
        return self.by_id


def searcher(name, zone, started=1):
    return Searcher(name, 's', f'{name}:1', zone, 2, False, 0, started)


def make(*searchers, clock=None):
    availability, routing_state = (
        AvailabilityStub(),
        RoutingStateStub(*searchers),
    )
    round_trips = RoundTripTimes(VmLocation(OWN_ZONE, REGIONS))
    clock, rng = clock or ManualClock(), random.Random(1)
    return (
        SearcherSelector(
            routing_state,
            round_trips,
            availability,
            RateLimiter(clock, rng, lambda: 8, routing_state.searchers),
            clock,
            rng,
        ),
        availability,
        routing_state,
    )


def picked(selector, times=30):
    return {selector.pick('s', ()).searcher.searcher_id for _ in range(times)}


def test_the_nearest_searcher_is_preferred():
    selector, _, _ = make(searcher('near', OWN_ZONE), searcher('far', 'z2'))
    assert picked(selector) == {'near'}


def test_of_far_searchers_one_with_an_idle_connection_is_preferred():
    selector, availability, _ = make(searcher('a', 'z2'), searcher('b', 'z3'))
    assert picked(selector) == {'a', 'b'}
    availability.idle.add('b')
    assert picked(selector) == {'b'}


def test_a_near_searcher_is_preferred_to_an_idle_connection_far_away():
    selector, availability, _ = make(
        searcher('near', OWN_ZONE), searcher('far', 'z2')
    )
    availability.idle.add('far')
    assert picked(selector) == {'near'}


def test_a_searcher_with_all_its_connections_in_use_is_avoided():
    selector, availability, _ = make(searcher('a', 'z2'), searcher('b', 'z3'))
    availability.full.add('a')
    assert picked(selector) == {'b'}


def test_no_searcher_is_left_once_all_were_tried():
    selector, _, _ = make(searcher('a', OWN_ZONE))
    assert selector.pick('s', {'a'}) is None


@pytest.mark.parametrize('listed', [(), (searcher('a', OWN_ZONE, 2),)])
def test_statistics_of_a_previous_process_are_dropped(listed):
    selector, _, routing_state = make(searcher('a', OWN_ZONE))
    previous = selector.stats_of(searcher('a', OWN_ZONE))
    routing_state.by_id = {each.searcher_id: each for each in listed}
    selector.forget_unlisted()
    assert selector.stats_of(searcher('a', OWN_ZONE, 2)) is not previous


def asks_for_rest(seconds):
    return Reply('near', 503, b'', (), b'', b'', False, rest_seconds=seconds)


def test_a_searcher_that_asked_for_a_rest_is_left_out_until_its_end():
    clock = ManualClock()
    near, far = searcher('near', OWN_ZONE), searcher('far', 'z3')
    selector, _, _ = make(near, far, clock=clock)
    selector.record_announcements(near, asks_for_rest(2), 0)
    assert selector.seconds_until_usable('s') == 0
    assert selector.pick('s', ()).searcher is far
    assert selector.pick('s', ('far',)) is None
    selector.record_announcements(far, asks_for_rest(1), 0)
    assert selector.pick('s', ()) is None
    assert selector.seconds_until_usable('s') == pytest.approx(1)
    clock.advance(1.1)
    assert selector.pick('s', ()).searcher is far
    clock.advance(1)
    assert selector.pick('s', ()).searcher is near


def test_a_rest_outlasts_a_lapse_of_the_entry_but_not_a_restart():
    near = searcher('near', OWN_ZONE)
    selector, _, routing_state = make(near)
    selector.record_announcements(near, asks_for_rest(60), 0)
    routing_state.by_id = {}
    selector.forget_unlisted()
    routing_state.by_id = {'near': near}
    assert selector.pick('s', ()) is None
    routing_state.by_id = {'near': searcher('near', OWN_ZONE, started=2)}
    assert selector.pick('s', ()) is not None


def test_an_attempt_at_a_former_process_ends_no_rest_of_the_new_one():
    former, current = searcher('a', OWN_ZONE), searcher('a', OWN_ZONE, 2)
    selector, _, routing_state = make(former)
    selector.stats_of(former)
    routing_state.by_id['a'] = current
    selector.stats_of(current).record_rest(4)
    selector.stats_of(former).record_refusal()
    assert selector.stats_of(current).rest_seconds_left == 4
    routing_state.by_id.clear()
    selector.stats_of(former).record_refusal()
    assert selector.stats_of(current).rest_seconds_left == 4


def test_a_service_whose_searchers_accept_no_connection_is_not_tried_again():
    clock = ManualClock()
    both = searcher('near', OWN_ZONE), searcher('far', 'z3')
    selector, _, _ = make(*both, clock=clock)
    for listed in both:
        selector.stats_of(listed).record_connect_failure()
    assert selector.pick_each(['s'], 1) == []
    assert 0 < selector.seconds_until_usable('s') <= MAX_DOWN_SECONDS
    clock.advance(selector.seconds_until_usable('s'))
    assert selector.pick('s', ()) is not None


def test_a_searcher_with_a_kept_connection_is_not_down():
    near = searcher('near', OWN_ZONE)
    selector, availability, _ = make(near)
    selector.stats_of(near).record_connect_failure()
    availability.idle.add('near')
    assert selector.pick('s', ()).searcher is near
    assert selector.seconds_until_usable('s') == 0


def test_a_searcher_that_is_long_down_is_probed_each_second():
    clock = ManualClock()
    near = searcher('near', OWN_ZONE)
    selector, _, _ = make(near, clock=clock)
    for _ in range(20):
        selector.stats_of(near).record_connect_failure()
        assert selector.seconds_until_usable('s') <= MAX_DOWN_SECONDS
        clock.advance(MAX_DOWN_SECONDS)
        assert selector.pick('s', ()) is not None
