"""How many VMs share caps and budgets."""

from basilwall.fleet.entry_fleet import MIN_FLEET_SIZE, Fleet
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
    assert fleet.size() == MIN_FLEET_SIZE
    fleet.update_size()
    assert fleet.size() == MIN_FLEET_SIZE


def test_the_size_follows_the_members():
    clock = ManualClock()
    fleet = make(clock)
    for number in range(VMS):
        fleet.membership.record_mention(Member(f'vm-{number}:1', 'a'))
    fleet.update_size()
    assert fleet.size() == VMS + 1
    clock.advance(100)
    fleet.update_size()
    assert fleet.size() == MIN_FLEET_SIZE


def test_asking_for_the_size_walks_through_no_members():
    fleet = make(ManualClock())
    for _ in range(100):
        fleet.size()
    assert not fleet.membership.walks
