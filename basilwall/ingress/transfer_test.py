"""Tests of the time that a request and its answer are on their way."""

import socket

import pytest

from basilwall.ingress.transfer import (
    DEFAULT_ROUND_TRIP_SECONDS,
    SLACK_SECONDS,
    transfer_seconds,
)


def test_a_new_connection_costs_its_caller_one_more_round_trip():
    with socket.create_server(('127.0.0.1', 0)) as listener:
        caller = socket.create_connection(listener.getsockname())
        accepted, _ = listener.accept()
        with caller, accepted:
            kept = transfer_seconds(accepted, is_first_request=False)
            new = transfer_seconds(accepted, is_first_request=True)
    assert SLACK_SECONDS < kept < SLACK_SECONDS + DEFAULT_ROUND_TRIP_SECONDS
    assert new - SLACK_SECONDS == pytest.approx(2 * (kept - SLACK_SECONDS))


def test_an_unknown_round_trip_is_assumed():
    first, second = socket.socketpair()
    with first, second:
        seconds = transfer_seconds(first, is_first_request=False)
    assert seconds == DEFAULT_ROUND_TRIP_SECONDS + SLACK_SECONDS
