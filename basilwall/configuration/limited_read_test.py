"""Tests of reading a response that may have no end."""

import io

import pytest

from basilwall.configuration.limited_read import (
    ResponseTooLargeError,
    read_body,
)


def test_a_body_without_end_is_given_up():
    endless = io.BytesIO(b'x' * 1000)
    with pytest.raises(ResponseTooLargeError):
        read_body(endless, limit=100)
    assert endless.tell() == 101


def test_a_body_up_to_the_limit_is_read_whole():
    assert read_body(io.BytesIO(b'x' * 100), limit=100) == b'x' * 100
