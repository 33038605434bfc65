"""What is in force: tables that never go back, searchers that lapse."""

import json

import pytest

from basilwall.parts.clock import ManualClock
from basilwall.parts.revisions import RevisionRegister
from basilwall.platform.codec import StoreValueReader
from basilwall.records.catalogue import PublishedValue
from basilwall.routing.deployment import LAPSE, Deployment

LIMITS = {
    'max_header_bytes': 16384,
    'max_body_bytes': 262144,
    'header_timeout_ms': 3000,
    'idle_timeout_ms': 15000,
}


def table(version, *prefixes):
    routes = [
        {
            'name': f'r{prefix}',
            'host': 'h.example',
            'prefix': prefix,
            'type': 'idempotent',
            'timeout_ms': 1000,
            'target_latency_ms': 100,
            'max_attempts': 2,
            'priority': 1,
            'service': 's',
        }
        for prefix in prefixes
    ]
    content = {
        'version': version,
        'routes': routes,
        'services': [{'name': 's', 'max_conns': 26}],
        'limits': LIMITS,
    }
    return json.dumps(content).encode()


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


@pytest.fixture(name='parts')
def _parts():
    clock = ManualClock()
    deployment = Deployment(StoreValueReader(), clock)
    register = RevisionRegister(deployment.accept)

    def publish(revision, key, body):
        return register.offer(PublishedValue(key, revision, body))

    return deployment, publish, clock


def ids(deployment, service='s'):
    return [one.searcher_id for one in deployment.searchers(service)]


def test_the_route_with_the_longest_prefix_is_found(parts):
    deployment, publish, _ = parts
    publish(1, 'op/config', table(1, '/', '/a/', '/a/b/'))
    found = deployment.table.find
    assert found('h.example', b'/a/b/c').name == 'r/a/b/'
    assert found('h.example', b'/a/bc').name == 'r/a/'
    assert found('h.example', b'/x').name == 'r/'
    assert found('other.example', b'/a/') is None


def test_a_table_never_goes_back(parts):
    deployment, publish, _ = parts
    publish(5, 'op/config', table(7, '/a/'))
    publish(3, 'op/config', table(6, '/b/'))
    assert deployment.table.version == 7
    publish(9, 'op/config', table(6, '/b/'))
    assert deployment.table.version == 7
    publish(10, 'op/config', b'')
    publish(11, 'op/config', b'{')
    assert deployment.table.version == 7
    publish(12, 'op/config', table(8, '/b/'))
    assert deployment.table.version == 8


def test_a_draining_searcher_gets_no_new_work(parts):
    deployment, publish, _ = parts
    publish(1, 'servers/i-1', entry())
    searcher = deployment.searchers('s')[0]
    publish(2, 'servers/i-1', entry('draining'))
    assert not ids(deployment)
    assert not deployment.is_usable(searcher)
    publish(1, 'servers/i-1', entry())
    assert not ids(deployment)


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
def test_an_entry_of_another_writer_names_no_searcher(parts, body):
    deployment, publish, _ = parts
    publish(1, 'servers/i-1', entry())
    publish(2, 'servers/i-2', body)
    assert ids(deployment) == ['i-1']
    publish(3, 'servers/i-1', body)
    assert not ids(deployment)
    publish(4, 'servers/i-1', entry())
    assert ids(deployment) == ['i-1']


def test_a_removed_searcher_is_gone_at_once(parts):
    deployment, publish, _ = parts
    publish(1, 'servers/i-1', entry())
    publish(2, 'servers/i-1', b'')
    assert not ids(deployment)


def test_a_lapsed_entry_is_held_until_live_searchers_are_back(parts):
    deployment, publish, clock = parts
    publish(1, 'servers/i-1', entry())
    publish(2, 'servers/i-2', entry(address='10.0.0.2:80'))
    deployment.doubt = lambda: clock.monotonic() + LAPSE
    publish(3, 'servers/i-1', b'')
    publish(4, 'servers/i-2', b'')
    assert sorted(ids(deployment)) == ['i-1', 'i-2']
    publish(5, 'servers/i-1', entry())
    clock.advance(LAPSE + 0.1)
    assert ids(deployment) == ['i-1']


def test_a_new_life_under_the_same_id_takes_the_place_of_the_old(parts):
    deployment, publish, _ = parts
    publish(1, 'servers/i-1', entry())
    publish(2, 'servers/i-1', entry(born=9, address='10.0.0.3:80'))
    (searcher,) = deployment.searchers('s')
    assert (searcher.started_ms, searcher.address) == (9, '10.0.0.3:80')
