"""How many connections this VM keeps to a searcher."""

from basilwall.forwarding.connection_pools import (
    ConnectionPools,
    PooledConnection,
)
from basilwall.parts.clock import ManualClock
from basilwall.records.routes import RouteTable
from basilwall.records.searcher import Searcher
from basilwall.routing.location import RoundTripTimes, VmLocation

CAP = 20
FLEET = 8
#: 85% of the cap, divided by the fleet and rounded down.
SHARE = 2


class Connection(PooledConnection):
    """A connection that only counts its closing."""

    def __init__(self, searcher):
        self.searcher = searcher
        self.usable_until = float('inf')
        self.connect_seconds = None
        self.is_closed = False

    def has_input(self):
        return False

    def close(self):
        self.is_closed = True


class Listed:
    """Lists the searchers of a test."""

    table = RouteTable(1, {}, {'s': CAP})

    def __init__(self):
        self.by_id = {}

    def all_searchers(self):
        return self.by_id


def searcher(started=1):
    return Searcher('a', 's', 'a:1', 'z', 2, False, 0, started)


def make():
    listed = Listed()
    trips = RoundTripTimes(VmLocation('z', {'z': 'r'}))
    clock = ManualClock()
    pools = ConnectionPools(listed, trips, clock, lambda: FLEET, Connection)
    return pools, listed, clock


def test_a_connection_is_kept_and_used_again():
    pools, _, _ = make()
    first = pools.checkout(searcher())
    assert not pools.has_idle_connection(searcher())
    pools.check_in(first)
    assert pools.has_idle_connection(searcher())
    assert pools.checkout(searcher()) is first


def test_there_is_room_up_to_the_share_of_this_vm():
    pools, _, _ = make()
    taken = []
    while pools.may_open_connection(searcher()):
        taken.append(pools.checkout(searcher()))
    assert len(taken) == SHARE


def test_connections_beyond_the_share_are_closed_after_their_use():
    pools, _, _ = make()
    taken = [pools.checkout(searcher()) for _ in range(SHARE + 1)]
    for connection in taken:
        pools.check_in(connection)
    assert [one.is_closed for one in taken] == [True, False, False]


def test_an_idle_connection_is_closed_at_its_end():
    pools, _, clock = make()
    connection = pools.checkout(searcher())
    connection.usable_until = clock.monotonic() + 1
    pools.check_in(connection)
    clock.advance(2)
    pools.close_idle()
    assert connection.is_closed
    assert not pools.has_idle_connection(searcher())


def test_a_connection_of_a_former_life_is_not_counted_for_the_new_one():
    pools, listed, _ = make()
    former = pools.checkout(searcher())
    listed.by_id = {'a': searcher(2)}
    pools.drop_unlisted()
    for _ in range(SHARE):
        pools.checkout(searcher(2))
    pools.check_in(former)
    assert former.is_closed
    assert not pools.may_open_connection(searcher(2))
