"""Tests of the current route table and searchers.

An older table must never replace a newer one, and searchers whose entries
expired during an outage of the platform must stay usable.
"""

import json

import pytest

from basilwall.parts.clock import ManualClock
from basilwall.parts.revisions import RevisionRegister
from basilwall.platform.codec import StoreValueReader
from basilwall.platform.route_documents_test import document, route
from basilwall.records.catalogue import PublishedValue
from basilwall.records.revision import Revision
from basilwall.records.searcher import process_of
from basilwall.routing.routing_state import (
    LAPSED_ENTRY_RETURN_SECONDS,
    RoutingState,
)


def table(version, *prefixes):
    routes = (route(prefix, name=f'r{prefix}') for prefix in prefixes)
    return document(*routes, version=version)


def entry(state='ready', **fields):
    content = {
        'service': 's',
        'address': '10.0.0.1:80',
        'zone': 'z',
        'version': 'v',
        'capacity': 2,
        'state': state,
        'cold_left_ms': 0,
        'call_seq': 1,
        'born': 5,
        **fields,
    }
    return json.dumps(content).encode()


@pytest.fixture(name='setup')
def _setup():
    clock = ManualClock()
    routing_state = RoutingState(StoreValueReader(), clock)
    register = RevisionRegister(routing_state.accept)

    def publish(revision, key, body):
        return register.offer(PublishedValue(key, Revision(0, revision), body))

    return routing_state, publish, clock


def ids(routing_state, service='s'):
    return [
        searcher.searcher_id for searcher in routing_state.searchers(service)
    ]


def test_the_route_with_the_longest_prefix_is_found(setup):
    routing_state, publish, _ = setup
    publish(1, 'op/config', table(1, '/', '/a/', '/a/b/'))
    found = routing_state.table.find_route
    assert found('h.example', b'/a/b/c').name == 'r/a/b/'
    assert found('h.example', b'/a/bc').name == 'r/a/'
    assert found('h.example', b'/x').name == 'r/'
    assert found('other.example', b'/a/') is None


def test_an_older_table_never_replaces_a_newer_one(setup):
    routing_state, publish, _ = setup
    publish(5, 'op/config', table(7, '/a/'))
    publish(3, 'op/config', table(6, '/b/'))
    assert routing_state.table.version == 7
    publish(9, 'op/config', table(6, '/b/'))
    assert routing_state.table.version == 7
    publish(10, 'op/config', b'')
    publish(11, 'op/config', b'{')
    assert routing_state.table.version == 7
    publish(12, 'op/config', table(8, '/b/'))
    assert routing_state.table.version == 8


def test_a_draining_searcher_gets_no_new_work(setup):
    routing_state, publish, _ = setup
    publish(1, 'servers/i-1', entry())
    searcher = routing_state.searchers('s')[0]
    publish(2, 'servers/i-1', entry('draining'))
    assert not ids(routing_state)
    assert not routing_state.is_usable(searcher)
    publish(1, 'servers/i-1', entry())
    assert not ids(routing_state)


def test_a_leaving_process_is_not_listed_again_by_an_older_report(setup):
    routing_state, publish, _ = setup
    publish(1, 'servers/i-1', entry())
    publish(2, 'servers/i-1', entry('draining'))
    publish(3, 'servers/i-1', entry())
    assert not ids(routing_state)
    publish(4, 'servers/i-1', entry(born=9))
    assert ids(routing_state) == ['i-1']


def test_a_process_that_said_it_leaves_is_not_used_after_its_entry_lapsed(
    setup,
):
    routing_state, publish, _ = setup
    publish(1, 'servers/i-1', entry())
    (searcher,) = routing_state.searchers('s')
    routing_state.record_leaving(process_of(searcher))
    assert not ids(routing_state)
    assert not routing_state.is_usable(searcher)
    publish(2, 'servers/i-1', b'')
    publish(3, 'servers/i-1', entry())
    assert not ids(routing_state)
    publish(4, 'servers/i-1', entry(born=9))
    assert ids(routing_state) == ['i-1']


@pytest.mark.parametrize(
    'body',
    [
        b'\xff',
        b'[]',
        entry(state='sleeping'),
        entry(address='somewhere'),
        entry(capacity='2'),
        entry(capacity=0),
        entry(born='x'),
        entry(service=None),
        json.dumps({'service': 's'}).encode(),
    ],
)
def test_an_invalid_entry_lists_no_searcher(setup, body):
    routing_state, publish, _ = setup
    publish(1, 'servers/i-1', entry())
    publish(2, 'servers/i-2', body)
    assert ids(routing_state) == ['i-1']
    publish(3, 'servers/i-1', body)
    assert not ids(routing_state)
    publish(4, 'servers/i-1', entry())
    assert ids(routing_state) == ['i-1']


def test_a_removed_searcher_is_gone_at_once(setup):
    routing_state, publish, _ = setup
    publish(1, 'servers/i-1', entry())
    publish(2, 'servers/i-1', b'')
    assert not ids(routing_state)


def test_an_expired_entry_is_held_until_live_searchers_are_listed_again(setup):
    routing_state, publish, clock = setup
    publish(1, 'servers/i-1', entry())
    publish(2, 'servers/i-2', entry(address='10.0.0.2:80'))
    routing_state.removals_held_until = lambda: (
        clock.monotonic() + LAPSED_ENTRY_RETURN_SECONDS
    )
    publish(3, 'servers/i-1', b'')
    publish(4, 'servers/i-2', b'')
    assert sorted(ids(routing_state)) == ['i-1', 'i-2']
    publish(5, 'servers/i-1', entry())
    clock.advance(LAPSED_ENTRY_RETURN_SECONDS + 0.1)
    assert ids(routing_state) == ['i-1']


def test_a_restarted_searcher_replaces_the_entry_of_its_old_process(setup):
    routing_state, publish, _ = setup
    publish(1, 'servers/i-1', entry())
    publish(2, 'servers/i-1', entry(born=9, address='10.0.0.3:80'))
    (searcher,) = routing_state.searchers('s')
    assert (searcher.started_ms, searcher.address) == (9, '10.0.0.3:80')


def test_vms_tell_of_a_process_only_until_the_store_reports_it(
    setup,
):
    routing_state, publish, _ = setup
    publish(1, 'servers/i-1', entry())
    (searcher,) = routing_state.searchers('s')
    routing_state.record_leaving(process_of(searcher))
    assert routing_state.leaving.take_new_notices()
    assert not routing_state.leaving.take_new_notices()
    (notice,) = routing_state.leaving.notices()
    assert notice.process == process_of(searcher)
    publish(2, 'servers/i-1', entry(state='draining'))
    assert not routing_state.leaving.notices()


def test_a_process_that_starts_at_the_address_of_a_leaving_one_gets_work(setup):
    routing_state, publish, _ = setup
    publish(1, 'servers/i-1', entry(born=1))
    (searcher,) = routing_state.searchers('s')
    routing_state.record_leaving(process_of(searcher))
    publish(2, 'servers/i-1', entry(born=1))
    assert not ids(routing_state)
    publish(3, 'servers/i-1', entry(born=2))
    assert ids(routing_state)


def test_a_notice_that_comes_before_the_searcher_is_listed_is_kept(setup):
    routing_state, publish, _ = setup
    publish(1, 'servers/i-1', entry(born=1))
    (searcher,) = routing_state.searchers('s')
    publish(2, 'servers/i-1', b'')
    routing_state.record_leaving(process_of(searcher), age=1.0)
    publish(3, 'servers/i-1', entry(born=1))
    assert not ids(routing_state)


def test_a_searcher_that_was_chosen_before_its_restart_is_not_usable(setup):
    routing_state, publish, _ = setup
    publish(1, 'servers/i-1', entry())
    (chosen,) = routing_state.searchers('s')
    assert routing_state.is_usable(chosen)
    publish(2, 'servers/i-1', entry(born=9))
    assert not routing_state.is_usable(chosen)
    (current,) = routing_state.searchers('s')
    assert routing_state.is_usable(current)


def test_a_notice_of_a_former_process_hides_no_later_one_that_leaves(setup):
    routing_state, publish, _ = setup
    publish(1, 'servers/i-1', entry(born=5))
    (former,) = routing_state.searchers('s')
    routing_state.record_leaving(process_of(former))
    publish(2, 'servers/i-1', entry(born=9))
    publish(3, 'servers/i-1', entry('draining', born=9))
    # Another VM still tells of the former one.
    routing_state.record_leaving(process_of(former))
    # The store came back from a copy.
    publish(4, 'servers/i-1', entry(born=9))
    assert not routing_state.searchers('s')
