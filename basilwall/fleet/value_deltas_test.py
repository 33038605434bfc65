"""Deltas lead from one version of a value to the next, whatever they hold."""

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from basilwall.configuration.client import PlatformError
from basilwall.fleet.value_deltas import (
    apply_delta,
    compress,
    decompress,
    encode_delta,
)
from basilwall.parts.revisions import MAX_BODY_BYTES

TEXTS = st.lists(
    st.sampled_from([b'{"a":1},', b'{"b":2},', b'},', b'x', b'[{', b'}]']),
    max_size=12,
).map(b''.join)


@given(TEXTS, TEXTS)
def test_a_delta_leads_to_the_exact_bytes(former, current):
    assert apply_delta(former, encode_delta(former, current)) == current


@given(TEXTS, TEXTS, TEXTS)
def test_a_delta_of_another_version_gives_no_other_value(
    former, current, other
):
    delta = encode_delta(former, current)
    try:
        assert apply_delta(other, delta) == current
    except PlatformError as error:
        assert str(error)


def table(changed=()):
    routes = [{'name': f'r{number}', 'timeout': 1} for number in range(3000)]
    for number in changed:
        routes[number]['timeout'] = 2
    return json.dumps({'routes': routes}).encode()


def test_one_changed_route_makes_a_small_delta():
    delta = encode_delta(table(), table([700]))
    assert apply_delta(table(), delta) == table([700])
    assert len(delta) < 200


@pytest.mark.parametrize(
    'delta',
    [
        b'',
        b'x',
        compress(b'x'),
        compress(b'\x93\x91\x92\x00\xcd\xff\xff\x90\x00'),
    ],
)
def test_a_malformed_delta_is_refused(delta):
    with pytest.raises(PlatformError):
        apply_delta(b'{"a":1},{"b":2}', delta)


def test_a_value_that_is_cut_off_or_grows_without_end_is_refused():
    whole = compress(b'x' * 100_000)
    assert decompress(whole) == b'x' * 100_000
    for broken in (whole[:-1], compress(b'x' * 2_000_000)):
        with pytest.raises(PlatformError):
            decompress(broken)


@pytest.mark.parametrize('size', [MAX_BODY_BYTES - 1, MAX_BODY_BYTES])
def test_the_largest_value_is_relayed_also_if_all_of_it_has_changed(size):
    for body in (b'x' * size, (b'},' * size)[:size]):
        assert decompress(compress(body)) == body
        assert apply_delta(b'{"a":1},', encode_delta(b'{"a":1},', body)) == body
    with pytest.raises(PlatformError):
        decompress(compress(b'x' * (size + 2)))


def test_a_value_is_as_large_as_the_platform_allows():
    limit = 3 * MAX_BODY_BYTES
    body = b'x' * limit
    assert decompress(compress(body), limit) == body
    assert apply_delta(b'', encode_delta(b'', body), limit) == body
    with pytest.raises(PlatformError):
        decompress(compress(body + b'x'), limit)
