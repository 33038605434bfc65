"""Addresses are refused unless a socket can connect to them."""

import pytest

from basilwall.records.endpoint import (
    Endpoint,
    InvalidAddressError,
    parse_address,
)


def test_numeric_hosts_with_a_port_are_endpoints():
    assert parse_address('10.0.0.1:80') == Endpoint('10.0.0.1', 80)
    assert parse_address('[::1]:65535') == Endpoint('::1', 65_535)


@pytest.mark.parametrize(
    'address',
    [
        '',
        '10.0.0.1',
        '10.0.0.1:',
        '10.0.0.1:0',
        '10.0.0.1:65536',
        '10.0.0.1:99999',
        f'10.0.0.1:{"9" * 5000}',
        '10.0.0.1:-1',
        '10.0.0.1:8_0',
        '10.0.0.1:\u0663',
        '999.0.0.1:80',
        '010.0.0.1:80',
        '\u0661.0.0.1:80',
        'searcher.example:80',
        ':80',
        '[::1:80',
        '::1]:80',
        '10.0.0.1 :80',
        '10.0.0.1:80\r\nX: y',
        '10.0.0.1\x00:80',
    ],
)
def test_anything_else_is_refused(address):
    with pytest.raises(InvalidAddressError):
        parse_address(address)
