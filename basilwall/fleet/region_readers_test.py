"""Which VMs of a region read the store."""

import pytest

from basilwall.fleet.relayed_reader import region_readers
from basilwall.parts.membership import Member
from basilwall.routing.location import VmLocation

#: Twice 164 kB, the largest value compressed, in 5 s over 7 Mbit/s.
MAX_FOLLOWERS = 13
LOCATION = VmLocation('zone', {'zone': 'here', 'next': 'here', 'far': 'there'})


def test_all_vms_of_a_small_region_read_and_two_of_a_large_one():
    own = Member('10.0.0.1:1', 'a', 'zone')
    neighbours = [
        Member(f'10.0.0.{number}:1', 'b', 'zone') for number in range(2, 25)
    ]
    others = [Member(f'10.0.1.{number}:1', 'b', 'far') for number in range(30)]
    few = [*neighbours[:3], *others]
    assert region_readers(own, few, LOCATION) == [own.address]
    chosen = region_readers(own, [*neighbours, *others], LOCATION)
    assert len(chosen) == 2
    for member in neighbours:
        known = [own, *(other for other in neighbours if other is not member)]
        assert region_readers(member, known, LOCATION) == chosen


def test_zones_of_a_region_do_not_each_have_readers_of_the_store():
    members = [
        Member(f'10.0.{place}.{number}:1', 'a', zone)
        for place, zone in enumerate(('zone', 'next'))
        for number in range(3)
    ]
    chosen = {
        tuple(
            region_readers(
                own,
                [other for other in members if other is not own],
                VmLocation(own.zone, LOCATION.region_by_zone),
            )
        )
        for own in members
    }
    assert len(chosen) == 1
    assert len(chosen.pop()) == 2


def test_vms_with_narrow_links_are_no_readers_while_others_are_there():
    members = [
        Member(
            f'10.0.0.{number}:1', 'a', 'zone', link_mbps=70 if number < 5 else 7
        )
        for number in range(1, 20)
    ]
    wide = members[:4]
    chosen = region_readers(members[-1], members[:-1], LOCATION)
    assert {member.address for member in wide} > set(chosen)
    chosen = region_readers(members[-1], members[3:-1], LOCATION)
    assert wide[3].address in chosen
    assert len(chosen) == 2


@pytest.mark.parametrize('vms', [5, 13, 50, 315])
def test_no_reader_relays_to_more_vms_than_its_link_bears(vms):
    members = [
        Member(f'10.0.{number // 250}.{number % 250}:1', 'a', 'zone')
        for number in range(vms)
    ]
    readers = region_readers(members[0], members[1:], LOCATION)
    assert (vms - len(readers)) / len(readers) <= MAX_FOLLOWERS
