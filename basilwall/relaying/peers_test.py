"""Tests of the order in which VMs are asked to serve a request."""

import random

from basilwall.parts.clock import ManualClock
from basilwall.parts.membership import Member, Membership
from basilwall.relaying.peers import RelayPeers
from basilwall.routing.location import VmLocation

REGIONS = {'z1': 'r1', 'z2': 'r1', 'z3': 'r2'}


def make():
    clock = ManualClock()
    membership = Membership(Member('own:1'), clock)
    peers = RelayPeers(membership, VmLocation('z1', REGIONS), clock)
    return peers, membership, clock


def vm(name, zone, **fields):
    fields = {'relay_address': f'{name}:2', **fields}
    return Member(f'{name}:1', zone=zone, **fields)


def order(peers):
    return [
        member.address.partition(':')[0]
        for member in peers.candidates(random.Random(1))
    ]


def test_the_nearest_vms_are_asked_first():
    peers, membership, _ = make()
    for member in (vm('far', 'z3'), vm('own-zone', 'z1'), vm('near', 'z2')):
        membership.record_contact(member)
    assert order(peers) == ['own-zone', 'near', 'far']


def test_vms_without_links_or_without_a_relay_address_are_not_asked():
    peers, membership, _ = make()
    membership.record_contact(vm('lost', 'z1', reaches_searchers=False))
    membership.record_contact(vm('older', 'z1', relay_address=''))
    assert not order(peers)


def test_leaving_and_silent_vms_are_asked_when_no_other_is_left():
    peers, membership, clock = make()
    membership.record_contact(vm('silent', 'z1'))
    clock.advance(10)
    membership.record_contact(vm('leaving', 'z1', leaving=True))
    membership.record_contact(vm('far', 'z3'))
    assert order(peers)[0] == 'far'
    assert set(order(peers)) == {'far', 'leaving', 'silent'}


def test_a_vm_that_did_not_serve_is_asked_last_for_a_while():
    peers, membership, clock = make()
    failed = vm('failed', 'z1')
    membership.record_contact(failed)
    membership.record_contact(vm('far', 'z3'))
    peers.avoid(failed)
    assert order(peers) == ['far', 'failed']
    clock.advance(4)
    assert order(peers) == ['failed', 'far']
