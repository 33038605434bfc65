"""Gossip messages: strikes are merged, invalid messages change nothing."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from basilwall.fleet.gossip_messages import (
    MAX_CONTENTS,
    GossipMessages,
    TellingError,
)
from basilwall.parts.clock import ManualClock
from basilwall.parts.membership import Member, Membership
from basilwall.parts.quarantine import Quarantine, Suspicion
from basilwall.records.rate_limit import RateLimitNotice
from basilwall.records.strike import Evidence, Strike

CONTENT = 'content'


def make(name, seeds=(), clock=None):
    clock = clock or ManualClock()
    return GossipMessages(
        Membership(Member(f'10.0.0.{name}:1', f'life-{name}'), clock, seeds),
        Quarantine(clock),
        random.Random(1),
    )


def exchange(first, other):
    other.apply(first.encode())
    first.apply(other.encode())


def record_death(messages, number):
    strike = Strike(f'incident-{number}', f's-{number}', Evidence.DIED)
    messages.quarantine.strike(CONTENT, [strike])


def test_members_become_known_through_a_common_peer():
    first, second, third = (make(number) for number in range(3))
    exchange(first, second)
    exchange(third, second)
    exchange(first, second)
    assert first.membership.peers() == ['10.0.0.1:1', '10.0.0.2:1']


def test_deaths_seen_by_two_vms_quarantine_a_content_on_all_vms():
    vms = [make(number) for number in range(3)]
    record_death(vms[0], 0)
    record_death(vms[1], 1)
    for vm in vms:
        assert vm.quarantine.suspicion_of(CONTENT) is not Suspicion.QUARANTINED
    exchange(vms[0], vms[1])
    exchange(vms[1], vms[2])
    exchange(vms[0], vms[2])
    for vm in vms:
        assert vm.quarantine.suspicion_of(CONTENT) is Suspicion.QUARANTINED


def test_a_repeated_strike_does_not_add_weight():
    first, other = make(1), make(2)
    record_death(first, 0)
    for _ in range(5):
        exchange(first, other)
    assert other.quarantine.suspicion_of(CONTENT) is not Suspicion.QUARANTINED


def test_a_vm_that_learns_late_counts_each_crash_at_one_address():
    clock = ManualClock()
    early, late = make(1, clock=clock), make(2)
    for number in range(2):
        strike = Strike(f'incident-{number}', 's-1:1', Evidence.DIED)
        early.quarantine.strike(CONTENT, [strike])
        clock.advance(10)
    exchange(late, early)
    assert late.quarantine.suspicion_of(CONTENT) is Suspicion.QUARANTINED


def test_strikes_of_an_outage_do_not_hide_a_crashing_content():
    first, second = make(1), make(2)
    for number in range(2):
        record_death(first, number)
    for number in range(3 * MAX_CONTENTS):
        strike = Strike(f'other-{number}', f'o-{number}', Evidence.DIED)
        first.quarantine.strike(f'beside-{number}', [strike])
    exchange(second, first)
    assert second.quarantine.suspicion_of(CONTENT) is Suspicion.QUARANTINED


@given(st.binary(max_size=300))
def test_random_bytes_are_rejected_without_effect(random_bytes):
    messages = make(1)
    with pytest.raises(TellingError):
        messages.apply(random_bytes)
    assert not messages.membership.peers()


@given(st.integers(0, 400), st.integers(0, 255))
def test_a_corrupted_message_is_rejected_or_applied_safely(position, byte):
    other = make(2)
    record_death(other, 0)
    message = bytearray(other.encode())
    message[position % len(message)] = byte
    messages = make(1)
    try:
        messages.apply(bytes(message))
    except TellingError:
        return
    assert len(messages.membership.peers()) <= 1


def test_vms_tell_each_other_the_limits_of_searchers():
    first, second = make(1), make(2)
    notice = RateLimitNotice('s-1', 7, 15.2, 0.5)
    first.rate_limit_notices = lambda: [notice]
    heard = []
    second.apply_rate_limit = heard.append
    exchange(first, second)
    assert heard == [notice]
