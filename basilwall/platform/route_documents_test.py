"""Tests of the decoder of the route table.

No entry that a VM can't use may keep the others out of force, and no bound may
be tighter than that of the platform.
"""

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from basilwall.platform.decoding import UnreadableValueError
from basilwall.platform.route_documents import decode_table
from basilwall.records.routes import CallerLimits, Route, UnusableRoute

HOST = 'h.example'
LIMITS = {
    'max_header_bytes': 16384,
    'max_body_bytes': 262144,
    'header_timeout_ms': 3000,
    'idle_timeout_ms': 15000,
}
LONG = 'x' * 5000
JSON = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=8,
)


def route(prefix='/a/', **fields):
    return {
        'name': 'r',
        'host': HOST,
        'prefix': prefix,
        'type': 'idempotent',
        'timeout_ms': 1000,
        'target_latency_ms': 100,
        'max_attempts': 2,
        'priority': 1,
        'service': 's',
        **fields,
    }


def document(*routes, **fields):
    return json.dumps(
        {
            'version': 3,
            'routes': routes,
            'services': [{'name': 's', 'max_conns': 26}],
            'limits': LIMITS,
            **fields,
        }
    ).encode()


def decode(*routes, **fields):
    return decode_table(document(*routes, **fields))


@pytest.mark.parametrize(
    'fields',
    [
        {'name': LONG},
        {'prefix': f'/{LONG}/'},
        {'service': LONG},
        {'service': '', 'gather': [LONG, 's']},
        {'service': '', 'backends': [{'service': LONG, 'weight': 1}]},
        {'max_attempts': 2**40},
        {'priority': 2**40},
        {'timeout_ms': 1e12},
        {'name': ''},
    ],
)
def test_no_text_or_count_keeps_a_route_out_of_force(fields):
    table = decode(route(**{'prefix': '/b/', **fields}), route('/a/'))
    path = fields.get('prefix', '/b/').encode()
    assert isinstance(table.find_route(HOST, path), Route)
    assert isinstance(table.find_route(HOST, b'/a/'), Route)
    assert table.is_complete


def test_a_long_host_is_matched():
    table = decode(route(host=LONG.upper()))
    assert isinstance(table.find_route(LONG, b'/a/'), Route)


def test_long_names_that_differ_stay_different_and_are_cut():
    table = decode(route('/a/', name=f'{LONG}1'), route('/b/', name=f'{LONG}2'))
    names = {table.find_route(HOST, path).name for path in (b'/a/', b'/b/')}
    assert len(names) == 2
    assert max(map(len, names)) < 200


@pytest.mark.parametrize(
    'fields',
    [
        {'type': 'other'},
        {'type': None},
        {'max_attempts': 0},
        {'timeout_ms': 'soon'},
        {'service': ''},
        {'gather': ['s']},
        {'gather': 7, 'service': ''},
        {'service': '', 'backends': [{'service': 's', 'weight': 0}]},
        {'service': '', 'backends': [{'service': 's', 'weight': -1}]},
        {'priority': []},
    ],
)
def test_a_route_that_cannot_be_used_keeps_its_requests_and_no_others(fields):
    table = decode(route('/a/'), route('/a/b/', **fields), route('/c/'))
    assert isinstance(table.find_route(HOST, b'/a/x'), Route)
    assert isinstance(table.find_route(HOST, b'/a/b/x'), UnusableRoute)
    assert isinstance(table.find_route(HOST, b'/c/x'), Route)
    assert table.find_route(HOST, b'/d/x') is None
    assert table.is_complete
    assert table.unusable_count() == 1


@pytest.mark.parametrize(
    'odd', [7, None, [], {}, {**route(), 'prefix': 7}, {**route(), 'host': {}}]
)
def test_a_route_without_a_place_leaves_no_path_without_a_route(odd):
    table = decode(route('/a/'), odd)
    assert isinstance(table.find_route(HOST, b'/a/x'), Route)
    assert not table.is_complete


def test_a_shard_that_is_named_twice_is_one_shard():
    table = decode(route(service='', gather=['s', 't', 's'], top_k=3))
    gathered = table.find_route(HOST, b'/a/').scatter_gather
    assert gathered.shards == ('s', 't')


def test_a_service_that_cannot_be_used_takes_no_other_with_it():
    services = [
        {'name': 's', 'max_conns': 26},
        {'name': 'odd', 'max_conns': 0},
        7,
        {'name': LONG, 'max_conns': 2**40},
    ]
    table = decode(route(), services=services)
    assert table.max_connections_by_service == {'s': 26, LONG: 2**40}


@pytest.mark.parametrize('limits', [7, {}, {**LIMITS, 'max_body_bytes': 0}])
def test_limits_that_cannot_be_used_are_the_usual_ones(limits):
    assert decode(route(), limits=limits).limits == CallerLimits()


def test_limits_of_any_size_are_in_force():
    limits = decode(
        route(),
        limits={**LIMITS, 'max_body_bytes': 2**50, 'idle_timeout_ms': 2**50},
    ).limits
    assert limits.max_body_bytes >= 2**31
    assert limits.idle_timeout > 2**20
    assert limits.max_header_bytes == 16384


@pytest.mark.parametrize(
    'value', [b'', b'{', b'[]', b'{"version": 1}', b'{"routes": []}']
)
def test_no_document_is_refused(value):
    with pytest.raises(UnreadableValueError):
        decode_table(value)


@given(st.sampled_from(sorted(route())), JSON)
def test_a_random_field_harms_no_other_route(field, content):
    table = decode(route('/other/'), {**route(), field: content})
    assert isinstance(table.find_route(HOST, b'/other/x'), Route)
