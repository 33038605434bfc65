"""How many VMs share caps and budgets."""

from basilwall.fleet.known import LEAST_FLEET, Fleet
from basilwall.parts.clock import ManualClock
from basilwall.parts.membership import Member, Membership

VMS = 300


class CountingMembership(Membership):
    """Counts how often all members are walked through."""

    def __init__(self, own, clock):
        super().__init__(own, clock)
        self.walks = 0

    def peers(self):
        self.walks += 1
        return super().peers()


def make(clock):
    membership = CountingMembership(Member('own:1', 'a'), clock)
    return Fleet(membership, None, None, None)


def test_a_vm_alone_assumes_the_least_fleet():
    fleet = make(ManualClock())
    assert fleet.size() == LEAST_FLEET
    fleet.recount()
    assert fleet.size() == LEAST_FLEET


def test_the_size_follows_the_members():
    clock = ManualClock()
    fleet = make(clock)
    for number in range(VMS):
        fleet.membership.heard_of(Member(f'vm-{number}:1', 'a'))
    fleet.recount()
    assert fleet.size() == VMS + 1
    clock.advance(100)
    fleet.recount()
    assert fleet.size() == LEAST_FLEET


def test_asking_for_the_size_walks_through_no_members():
    fleet = make(ManualClock())
    for _ in range(100):
        fleet.size()
    assert not fleet.membership.walks
