"""Tests of the decoders of stored values, on random bytes and JSON."""

import json
from functools import partial

from hypothesis import given
from hypothesis import strategies as st

from basilwall.platform.decoding import UnreadableValueError
from basilwall.platform.route_documents import decode_table
from basilwall.platform.values import decode_searcher
from basilwall.records.routes import RouteTable
from basilwall.records.searcher import Searcher

JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=8,
)
#: Longest key of the store.
MAX_KEY_BYTES = 200
ENTRY = {
    'service': 's',
    'address': '10.0.0.1:80',
    'zone': 'z',
    'capacity': 2,
    'state': 'ready',
    'cold_left_ms': 1500,
    'born': 7,
}


@given(
    st.binary(max_size=200)
    | JSON.map(lambda content: json.dumps(content).encode())
)
def test_invalid_values_raise_no_other_error(value):
    for decode in (decode_table, partial(decode_searcher, 'servers/i')):
        try:
            decoded = decode(value)
        except UnreadableValueError:
            continue
        assert isinstance(decoded, RouteTable | Searcher)


@given(st.sampled_from(sorted(ENTRY)), JSON)
def test_an_entry_with_one_random_field_is_refused_or_valid(field, content):
    value = json.dumps({**ENTRY, field: content}).encode()
    try:
        searcher = decode_searcher('servers/i', value)
    except UnreadableValueError:
        return
    assert searcher.slots >= 1
    assert isinstance(searcher.started_ms, int)


def test_an_entry_is_converted_to_a_searcher():
    searcher = decode_searcher('servers/i-1', json.dumps(ENTRY).encode())
    assert searcher == Searcher(
        'i-1',
        's',
        '10.0.0.1:80',
        'z',
        2,
        False,
        1.5,
        7,
    )


def test_no_id_or_text_is_too_long_for_a_searcher():
    entry = {**ENTRY, 'service': 's' * 5000, 'zone': 'z' * 5000}
    searcher_id = 'i' * (MAX_KEY_BYTES - len('servers/'))
    searcher = decode_searcher(
        f'servers/{searcher_id}', json.dumps(entry).encode()
    )
    assert searcher.searcher_id == searcher_id


def test_no_number_of_slots_is_too_high_for_a_searcher():
    entry = json.dumps({**ENTRY, 'capacity': 2**40}).encode()
    assert decode_searcher('servers/i', entry).slots > 1000
