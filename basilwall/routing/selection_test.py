"""Which searcher of a service an attempt goes to."""

import random

import pytest

from basilwall.parts.clock import ManualClock
from basilwall.records.searcher import Searcher
from basilwall.routing.location import RoundTripTimes, VmLocation
from basilwall.routing.selection import ConnectionAvailability, SearcherSelector

OWN_ZONE = 'z1'
REGIONS = {OWN_ZONE: 'r1', 'z2': 'r2', 'z3': 'r3'}


class Connections(ConnectionAvailability):
    """Says what a test says."""

    def __init__(self):
        self.idle = set()
        self.full = set()

    def has_idle_connection(self, searcher):
        return searcher.searcher_id in self.idle

    def may_open_connection(self, searcher):
        return searcher.searcher_id not in self.full


class Listed:
    """Lists the searchers of a test."""

    def __init__(self, *searchers):
        self.by_id = {one.searcher_id: one for one in searchers}

    def searchers(self, _):
        return tuple(self.by_id.values())

    def all_searchers(self):
        return self.by_id


def searcher(name, zone, started=1):
    return Searcher(name, 's', f'{name}:1', zone, 2, False, 0, started)


def make(*searchers):
    room, listed = Connections(), Listed(*searchers)
    trips = RoundTripTimes(VmLocation(OWN_ZONE, REGIONS))
    clock, source = ManualClock(), random.Random(1)
    return SearcherSelector(listed, trips, room, clock, source), room, listed


def picked(selector, times=30):
    return {selector.pick('s', ()).searcher.searcher_id for _ in range(times)}


def test_the_nearest_searcher_goes_first():
    selector, _, _ = make(searcher('near', OWN_ZONE), searcher('far', 'z2'))
    assert picked(selector) == {'near'}


def test_of_far_searchers_one_with_a_kept_connection_goes_first():
    selector, room, _ = make(searcher('a', 'z2'), searcher('b', 'z3'))
    assert picked(selector) == {'a', 'b'}
    room.idle.add('b')
    assert picked(selector) == {'b'}


def test_a_kept_connection_far_away_does_not_go_before_a_near_searcher():
    selector, room, _ = make(searcher('near', OWN_ZONE), searcher('far', 'z2'))
    room.idle.add('far')
    assert picked(selector) == {'near'}


def test_a_searcher_with_all_its_connections_in_use_goes_last():
    selector, room, _ = make(searcher('a', 'z2'), searcher('b', 'z3'))
    room.full.add('a')
    assert picked(selector) == {'b'}


def test_no_searcher_is_left_once_all_were_tried():
    selector, _, _ = make(searcher('a', OWN_ZONE))
    assert selector.pick('s', {'a'}) is None


@pytest.mark.parametrize('listed', [(), (searcher('a', OWN_ZONE, 2),)])
def test_what_was_seen_of_a_former_life_is_forgotten(listed):
    selector, _, known = make(searcher('a', OWN_ZONE))
    former = selector.stats_of(searcher('a', OWN_ZONE))
    known.by_id = {one.searcher_id: one for one in listed}
    selector.forget_unlisted()
    assert selector.stats_of(searcher('a', OWN_ZONE, 2)) is not former
