"""Tests of the share of searchers' limits that this VM keeps to."""

import random
from dataclasses import replace

import pytest

from basilwall.parts.clock import ManualClock
from basilwall.records.forwarding import Reply
from basilwall.records.rate_limit import RateLimitNotice
from basilwall.records.searcher import Searcher
from basilwall.routing.rate_limiter import RateLimiter

BUSY = Searcher('busy', 's', 'busy:1', 'z1', 2, False, 0, 1)
FLEET_SIZE = 10


class Fleet:
    """The size of a fleet, as a test sets it."""

    def __init__(self):
        self.size = FLEET_SIZE


def make():
    clock, fleet = ManualClock(), Fleet()
    limiter = RateLimiter(
        clock, random.Random(1), lambda: fleet.size, lambda _: (BUSY,)
    )
    return limiter, clock, fleet


def name_limit(limiter, limit, sent_at=0):
    reply = Reply('busy', 200, b'', (), b'', b'', True, rate_limit=limit)
    limiter.limits.record_reply(BUSY, reply, sent_at)


def take_for(limiter, clock, seconds, searcher=BUSY):
    """Take whatever is allowed for some seconds; return how much that is."""
    taken = 0
    for _ in range(seconds * 20):
        while limiter.take(searcher, is_extra=False):
            taken += 1
        clock.advance(0.05)
    return taken


def test_a_searcher_without_a_limit_takes_any_number():
    limiter, _, _ = make()
    assert all(limiter.take(BUSY, is_extra=False) for _ in range(1000))


@pytest.mark.parametrize('limit', [4, 100])
def test_vms_together_keep_the_limit(limit):
    limiter, clock, _ = make()
    name_limit(limiter, limit)
    taken = take_for(limiter, clock, 60)
    assert 0.8 * limit * 60 <= taken * FLEET_SIZE <= limit * 60


def test_the_share_shrinks_when_vms_join():
    limiter, clock, fleet = make()
    name_limit(limiter, 100)
    before = take_for(limiter, clock, 20)
    fleet.size *= 2
    assert take_for(limiter, clock, 20) <= before * 0.6


def test_a_limit_of_zero_still_lets_its_end_be_seen():
    limiter, clock, _ = make()
    name_limit(limiter, 0)
    assert 1 <= take_for(limiter, clock, 100) <= 3


def test_a_refused_request_can_come_back_when_there_is_room():
    limiter, clock, _ = make()
    name_limit(limiter, 3)
    while limiter.take(BUSY, is_extra=False):
        clock.advance(0)
    clock.advance(limiter.seconds_until_room(BUSY) + 0.01)
    assert limiter.take(BUSY, is_extra=False)


def test_a_new_process_under_the_same_id_has_no_limit():
    limiter, _, _ = make()
    name_limit(limiter, 1)
    restarted = replace(BUSY, started_ms=2)
    assert all(limiter.take(restarted, is_extra=False) for _ in range(100))


def test_a_limit_is_heard_from_another_vm():
    limiter, clock, _ = make()
    limiter.limits.apply_notice(BUSY, RateLimitNotice('busy', 1, 100, 0.5))
    assert take_for(limiter, clock, 20) <= 20 * 100 / FLEET_SIZE


def test_an_old_notice_does_not_bring_back_a_limit_that_ended():
    limiter, clock, _ = make()
    name_limit(limiter, 100)
    clock.advance(2)
    limiter.limits.apply_notice(BUSY, RateLimitNotice('busy', 1, None, 0.1))
    limiter.limits.apply_notice(BUSY, RateLimitNotice('busy', 1, 100, 1.0))
    limiter.limits.apply_notice(BUSY, RateLimitNotice('busy', 1, 100, 60.0))
    assert limiter.limits.count() == 0


@pytest.mark.parametrize(
    'notice',
    [
        RateLimitNotice('busy', 2, 1, 0.1),
        RateLimitNotice('busy', 1, float('nan'), 0.1),
        RateLimitNotice('busy', 1, -1, 0.1),
        RateLimitNotice('busy', 1, 1, float('nan')),
        RateLimitNotice('busy', 1, 1, -3),
    ],
)
def test_a_malformed_notice_or_one_of_another_process_is_ignored(notice):
    limiter, _, _ = make()
    limiter.limits.apply_notice(BUSY, notice)
    assert limiter.limits.count() == 0
