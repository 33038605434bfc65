"""Which VMs count as peers and as live."""

from basilwall.parts.clock import ManualClock
from basilwall.parts.membership import (
    LIVENESS_TIMEOUT_SECONDS,
    MAX_MEMBERS,
    MEMBER_TTL_SECONDS,
    Member,
    Membership,
)

OWN = Member('10.0.0.1:1', 'own')
OTHER = Member('10.0.0.2:1', 'other')


def make(start=1000.0, seeds=()):
    clock = ManualClock(start)
    return clock, Membership(OWN, clock, seeds)


def test_a_member_only_mentioned_is_not_live_at_a_low_clock():
    _, members = make(start=1.0)
    members.record_mention(OTHER)
    assert members.peers() == [OTHER.address]
    assert members.live_members() == []


def test_a_vm_missing_from_the_list_is_kept_while_it_sends():
    clock, members = make()
    members.update_listed({OWN.address, OTHER.address})
    members.record_contact(OTHER)
    members.update_listed({OWN.address})
    clock.advance(MEMBER_TTL_SECONDS - 1)
    assert members.peers() == [OTHER.address]
    clock.advance(2)
    assert members.peers() == []


def test_a_listed_vm_that_is_silent_is_a_peer_but_not_live():
    clock, members = make()
    members.record_contact(OTHER)
    members.update_listed({OTHER.address})
    clock.advance(MEMBER_TTL_SECONDS * 2)
    assert members.peers() == [OTHER.address]
    assert members.live_members() == []


def test_a_mention_only_changes_whether_a_member_is_leaving():
    clock, members = make()
    members.record_contact(OTHER)
    clock.advance(LIVENESS_TIMEOUT_SECONDS + 1)
    members.record_mention(Member(OTHER.address, 'former', leaving=True))
    members.record_mention(OTHER)
    assert members.live_members() == []
    members.record_contact(OTHER)
    members.record_mention(Member(OTHER.address, 'other', leaving=True))
    assert [member.leaving for member in members.live_members()] == [True]
    clock.advance(LIVENESS_TIMEOUT_SECONDS + 1)
    assert members.peers() == []


def test_seeds_are_peers_without_a_list_and_members_are_limited():
    _, members = make(seeds=(OTHER.address, OWN.address))
    assert members.peers() == [OTHER.address]
    for number in range(MAX_MEMBERS + 10):
        members.record_mention(Member(f'vm-{number}'))
    assert len(members.peers()) == MAX_MEMBERS + 1
