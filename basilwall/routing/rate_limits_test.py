"""Tests of the limits on the rate of requests that searchers name."""

from dataclasses import replace

from basilwall.parts.clock import ManualClock
from basilwall.records.forwarding import Reply
from basilwall.records.searcher import Searcher
from basilwall.routing.rate_limits import RateLimits

BUSY = Searcher('busy', 's', 'busy:1', 'z1', 2, False, 0, 1)


def reply(limit=None, status=200, has_run=True):
    return Reply(
        'busy', status, b'', (), b'', b'signed', has_run, rate_limit=limit
    )


def make():
    clock = ManualClock()
    return RateLimits(clock), clock


def test_a_limit_ends_with_a_reply_that_names_none():
    limits, clock = make()
    limits.record_reply(BUSY, reply(15), clock.monotonic())
    assert limits.count() == 1
    clock.advance(1)
    limits.record_reply(BUSY, reply(), clock.monotonic())
    assert limits.count() == 0


def test_a_reply_to_an_older_request_does_not_end_a_limit():
    limits, clock = make()
    clock.advance(1)
    limits.record_reply(BUSY, reply(15), 0.9)
    limits.record_reply(BUSY, reply(), 0.8)
    assert limits.count() == 1


def test_a_refusal_without_a_limit_does_not_end_it():
    limits, clock = make()
    limits.record_reply(BUSY, reply(15), clock.monotonic())
    clock.advance(1)
    refusal = reply(status=503, has_run=False)
    limits.record_reply(BUSY, refusal, clock.monotonic())
    assert limits.count() == 1


def test_a_restarted_searcher_has_no_limit():
    limits, clock = make()
    limits.record_reply(BUSY, reply(15), clock.monotonic())
    restarted = replace(BUSY, started_ms=2)
    limits.record_reply(restarted, reply(3), clock.monotonic())
    assert limits.limit_of(restarted) == 3
    assert limits.limit_of(BUSY) is None
