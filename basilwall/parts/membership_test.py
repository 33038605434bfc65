"""Whom a VM talks to."""

from basilwall.parts.clock import ManualClock
from basilwall.parts.membership import (
    ALIVE_WITHIN,
    FORGET_AFTER,
    MAX_MEMBERS,
    Member,
    Membership,
)

OWN = Member('10.0.0.1:1', 'own')
OTHER = Member('10.0.0.2:1', 'other')


def make(start=1000.0, seeds=()):
    clock = ManualClock(start)
    return clock, Membership(OWN, clock, seeds)


def test_a_member_only_told_of_is_not_alive_right_after_a_boot():
    _, members = make(start=1.0)
    members.heard_of(OTHER)
    assert members.peers() == [OTHER.address]
    assert members.alive() == []


def test_a_vm_gone_from_a_lagging_list_is_kept_while_it_speaks():
    clock, members = make()
    members.listed({OWN.address, OTHER.address})
    members.heard_from(OTHER)
    members.listed({OWN.address})
    clock.advance(FORGET_AFTER - 1)
    assert members.peers() == [OTHER.address]
    clock.advance(2)
    assert members.peers() == []


def test_a_listed_vm_that_is_dead_is_asked_but_not_alive():
    clock, members = make()
    members.heard_from(OTHER)
    members.listed({OTHER.address})
    clock.advance(FORGET_AFTER * 2)
    assert members.peers() == [OTHER.address]
    assert members.alive() == []


def test_word_of_others_changes_only_that_a_member_leaves():
    clock, members = make()
    members.heard_from(OTHER)
    clock.advance(ALIVE_WITHIN + 1)
    members.heard_of(Member(OTHER.address, 'former', leaving=True))
    members.heard_of(OTHER)
    assert members.alive() == []
    members.heard_from(OTHER)
    members.heard_of(Member(OTHER.address, 'other', leaving=True))
    assert [one.leaving for one in members.alive()] == [True]
    clock.advance(ALIVE_WITHIN + 1)
    assert members.peers() == []


def test_seeds_are_asked_without_a_list_and_members_are_capped():
    _, members = make(seeds=(OTHER.address, OWN.address))
    assert members.peers() == [OTHER.address]
    for number in range(MAX_MEMBERS + 10):
        members.heard_of(Member(f'vm-{number}'))
    assert len(members.peers()) == MAX_MEMBERS + 1
