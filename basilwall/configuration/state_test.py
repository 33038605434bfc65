"""Which values are put in force and which are refused."""

import json

import pytest

from basilwall.configuration.state import PlatformState
from basilwall.document.keys import FLEET_KEY, catalogue_key, document_key
from basilwall.records.catalogue import PublishedValue
from basilwall.records.revision import Revision

DOCUMENT = document_key('one')
CATALOGUE = catalogue_key('one')
GOOD = b'{"service": "one", "deadline_ms": 70}'
GOOD_CATALOGUE = b'{"service": "one", "snapshots": []}'


def apply(state, key, revision, body):
    return state.apply(PublishedValue(key, Revision(0, revision), body))


@pytest.mark.parametrize(
    ('key', 'body'),
    [
        (DOCUMENT, b'{'),
        (DOCUMENT, b'\xff'),
        (DOCUMENT, b'{"service": "another"}'),
        (DOCUMENT, b'{"service": "one", "deadline_ms": %s}' % (b'9' * 5000)),
        (DOCUMENT, b'[' * 100_000),
        (CATALOGUE, b'{"service": "another", "snapshots": []}'),
        (CATALOGUE, b'{"service": "one", "snapshots": [], "slots": 0}'),
        (CATALOGUE, b'[' * 100_000),
        (
            CATALOGUE,
            b'{"service": "one", "snapshots": [], "connections": %d}' % 2**62,
        ),
        (
            CATALOGUE,
            b'{"service": "one", "snapshots": [], "slots": %s}' % (b'9' * 5000),
        ),
        (FLEET_KEY, b''),
        (FLEET_KEY, b'{"vms": 3}'),
    ],
)
def test_a_bad_value_is_refused_with_a_reason(key, body):
    state = PlatformState()
    assert not apply(state, DOCUMENT, 1, GOOD)
    apply(state, CATALOGUE, 2, GOOD_CATALOGUE)
    assert apply(state, key, 3, body)
    assert state.document_by_service['one'].deadline_ms == 70
    assert set(state.document_by_service) == {'one'}
    assert set(state.catalogue_by_service) == {'one'}


def test_an_older_value_has_no_effect():
    state = PlatformState()
    apply(state, DOCUMENT, 5, GOOD)
    apply(state, DOCUMENT, 4, json.dumps({'service': 'one'}).encode())
    assert state.document_by_service['one'].deadline_ms == 70


def test_a_removed_key_stays_removed():
    state = PlatformState()
    apply(state, DOCUMENT, 5, GOOD)
    apply(state, DOCUMENT, 6, b'')
    apply(state, DOCUMENT, 5, GOOD)
    apply(state, 'basilwall/later/thing', 7, b'anything')
    assert not state.document_by_service


def test_ready_needs_initial_sync_and_a_complete_service():
    state = PlatformState()
    apply(state, DOCUMENT, 1, GOOD)
    state.has_synced = True
    assert not state.is_ready()
    apply(state, CATALOGUE, 2, GOOD_CATALOGUE)
    assert state.is_ready()
    state.has_synced = False
    assert not state.is_ready()


def test_searchers_and_vms_that_no_socket_can_reach_are_left_out():
    state = PlatformState()
    odd = ['10.0.0.2:99999', '999.0.0.1:80', 'searcher.example:80', '']
    part = {'instance': 'i', 'searchers': ['10.0.0.1:80', *odd]}
    snapshot = {'snapshot_id': 's', 'parts': [part]}
    catalogue = {'service': 'one', 'snapshots': [snapshot]}
    assert not apply(state, CATALOGUE, 1, json.dumps(catalogue).encode())
    assert state.searchers('one') == {'10.0.0.1:80'}
    fleet = {'vms': [{'address': one} for one in ('10.0.0.9:1', *odd)]}
    assert not apply(state, FLEET_KEY, 2, json.dumps(fleet).encode())
    assert [vm.address for vm in state.fleet.vms] == ['10.0.0.9:1']
