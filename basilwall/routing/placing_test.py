"""Which searcher of a service an attempt goes to."""

import random

import pytest

from basilwall.parts.clock import ManualClock
from basilwall.records.searcher import Searcher
from basilwall.routing.place import Place, RoundTrips
from basilwall.routing.placing import Placing, Room

OWN_ZONE = 'z1'
REGIONS = {OWN_ZONE: 'r1', 'z2': 'r2', 'z3': 'r3'}


class Connections(Room):
    """Says what a test says."""

    def __init__(self):
        self.idle = set()
        self.full = set()

    def has_idle(self, searcher):
        return searcher.searcher_id in self.idle

    def has_room(self, searcher):
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
    trips = RoundTrips(Place(OWN_ZONE, REGIONS))
    clock, source = ManualClock(), random.Random(1)
    return Placing(listed, trips, room, clock, source), room, listed


def picked(placing, times=30):
    return {placing.pick('s', ()).searcher.searcher_id for _ in range(times)}


def test_the_nearest_searcher_goes_first():
    placing, _, _ = make(searcher('near', OWN_ZONE), searcher('far', 'z2'))
    assert picked(placing) == {'near'}


def test_of_far_searchers_one_with_a_kept_connection_goes_first():
    placing, room, _ = make(searcher('a', 'z2'), searcher('b', 'z3'))
    assert picked(placing) == {'a', 'b'}
    room.idle.add('b')
    assert picked(placing) == {'b'}


def test_a_kept_connection_far_away_does_not_go_before_a_near_searcher():
    placing, room, _ = make(searcher('near', OWN_ZONE), searcher('far', 'z2'))
    room.idle.add('far')
    assert picked(placing) == {'near'}


def test_a_searcher_with_all_its_connections_in_use_goes_last():
    placing, room, _ = make(searcher('a', 'z2'), searcher('b', 'z3'))
    room.full.add('a')
    assert picked(placing) == {'b'}


def test_no_searcher_is_left_once_all_were_tried():
    placing, _, _ = make(searcher('a', OWN_ZONE))
    assert placing.pick('s', {'a'}) is None


@pytest.mark.parametrize('listed', [(), (searcher('a', OWN_ZONE, 2),)])
def test_what_was_seen_of_a_former_life_is_forgotten(listed):
    placing, _, known = make(searcher('a', OWN_ZONE))
    former = placing.standing(searcher('a', OWN_ZONE))
    known.by_id = {one.searcher_id: one for one in listed}
    placing.follow()
    assert placing.standing(searcher('a', OWN_ZONE, 2)) is not former
