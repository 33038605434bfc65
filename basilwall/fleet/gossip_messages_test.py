"""What VMs tell each other: strikes add up, odd messages change nothing."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from basilwall.fleet.gossip_messages import GossipMessages, TellingError
from basilwall.parts.clock import ManualClock
from basilwall.parts.membership import Member, Membership
from basilwall.parts.quarantine import Quarantine, Suspicion
from basilwall.records.strike import Evidence, Strike

CONTENT = 'content'


def make(name, seeds=()):
    clock = ManualClock()
    return GossipMessages(
        Membership(Member(f'10.0.0.{name}:1', f'life-{name}'), clock, seeds),
        Quarantine(clock),
        random.Random(1),
    )


def exchange(one, other):
    other.apply(one.encode())
    one.apply(other.encode())


def died(tellings, number):
    strike = Strike(f'incident-{number}', f's-{number}', Evidence.DIED)
    tellings.quarantine.strike(CONTENT, [strike])


def test_members_become_known_through_one_that_knows_them():
    first, second, third = (make(number) for number in range(3))
    exchange(first, second)
    exchange(third, second)
    exchange(first, second)
    assert first.membership.peers() == ['10.0.0.1:1', '10.0.0.2:1']


def test_deaths_that_two_vms_saw_quarantine_a_content_at_all():
    vms = [make(number) for number in range(3)]
    died(vms[0], 0)
    died(vms[1], 1)
    for vm in vms:
        assert vm.quarantine.suspicion_of(CONTENT) is not Suspicion.QUARANTINED
    exchange(vms[0], vms[1])
    exchange(vms[1], vms[2])
    exchange(vms[0], vms[2])
    for vm in vms:
        assert vm.quarantine.suspicion_of(CONTENT) is Suspicion.QUARANTINED


def test_a_strike_told_again_weighs_no_more():
    one, other = make(1), make(2)
    died(one, 0)
    for _ in range(5):
        exchange(one, other)
    assert other.quarantine.suspicion_of(CONTENT) is not Suspicion.QUARANTINED


@given(st.binary(max_size=300))
def test_random_bytes_are_refused_whole(noise):
    tellings = make(1)
    with pytest.raises(TellingError):
        tellings.apply(noise)
    assert not tellings.membership.peers()


@given(st.integers(0, 400), st.integers(0, 255))
def test_a_damaged_message_is_refused_or_sound(place, byte):
    other = make(2)
    died(other, 0)
    message = bytearray(other.encode())
    message[place % len(message)] = byte
    tellings = make(1)
    try:
        tellings.apply(bytes(message))
    except TellingError:
        return
    assert len(tellings.membership.peers()) <= 1
