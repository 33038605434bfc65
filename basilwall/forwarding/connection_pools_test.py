"""Tests of the number of connections that this VM keeps to a searcher."""

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


class ConnectionStub(PooledConnection):
    """A connection that only records that it was closed."""

    def __init__(self, searcher):
        self.searcher = searcher
        self.usable_until = float('inf')
        self.connect_seconds = None
        self.is_prepared = False
        self.is_closed = False

    def has_input(self):
        return self.is_closed

    def close(self):
        self.is_closed = True


class RoutingStateStub:
    """A stub of the routing state with the searchers of a test."""

    table = RouteTable(1, {}, {'s': CAP})

    def __init__(self):
        self.by_id = {}

    def all_searchers(self):
        return self.by_id


def searcher(started=1):
    return Searcher('a', 's', 'a:1', 'z', 2, False, 0, started)


def make():
    routing_state = RoutingStateStub()
    round_trips = RoundTripTimes(VmLocation('z', {'z': 'r'}))
    clock = ManualClock()
    pools = ConnectionPools(
        routing_state, round_trips, clock, lambda: FLEET, ConnectionStub
    )
    return pools, routing_state, clock


def test_a_connection_is_reused():
    pools, _, _ = make()
    first = pools.checkout(searcher())
    assert not pools.has_idle_connection(searcher())
    pools.check_in(first)
    assert pools.has_idle_connection(searcher())
    assert pools.checkout(searcher()) is first


def test_connections_may_be_opened_up_to_the_share_of_this_vm():
    pools, _, _ = make()
    connections = []
    while pools.may_open_connection(searcher()):
        connections.append(pools.checkout(searcher()))
    assert len(connections) == SHARE


def test_connections_beyond_the_share_are_closed_after_their_use():
    pools, _, _ = make()
    connections = [pools.checkout(searcher()) for _ in range(SHARE + 1)]
    for connection in connections:
        pools.check_in(connection)
    assert [each.is_closed for each in connections] == [True, False, False]


def test_an_idle_connection_is_closed_at_its_timeout():
    pools, _, clock = make()
    connection = pools.checkout(searcher())
    connection.usable_until = clock.monotonic() + 1
    pools.check_in(connection)
    clock.advance(2)
    pools.close_idle()
    assert connection.is_closed
    assert not pools.has_idle_connection(searcher())


def test_a_connection_to_a_previous_process_is_not_counted_for_the_new_one():
    pools, routing_state, _ = make()
    previous = pools.checkout(searcher())
    routing_state.by_id = {'a': searcher(2)}
    pools.drop_unlisted()
    for _ in range(SHARE):
        pools.checkout(searcher(2))
    pools.check_in(previous)
    assert previous.is_closed
    assert not pools.may_open_connection(searcher(2))


def test_a_prepared_connection_serves_the_next_attempt():
    pools, _, _ = make()
    prepared = pools.prepare(searcher())
    assert prepared.is_prepared
    assert pools.prepare(searcher()) is None
    assert pools.checkout(searcher()) is prepared


def test_no_connection_is_prepared_beyond_the_share_of_this_vm():
    pools, _, _ = make()
    for _ in range(SHARE):
        pools.checkout(searcher())
    assert pools.prepare(searcher()) is None


def test_a_prepared_connection_that_failed_is_not_used():
    pools, _, _ = make()
    prepared = pools.prepare(searcher())
    prepared.is_closed = True
    assert pools.checkout(searcher()) is not prepared
