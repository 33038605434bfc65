"""The fleet size that divides shared caps and budgets."""

from basilwall.fleet.entry_fleet import MIN_FLEET_SIZE, Fleet
from basilwall.parts.clock import ManualClock
from basilwall.parts.membership import Member, Membership

VMS = 300


class CountingMembership(Membership):
    """Counts how often the members are iterated."""

    def __init__(self, own, clock):
        super().__init__(own, clock)
        self.peer_calls = 0

    def peers(self):
        self.peer_calls += 1
        return super().peers()


def make(clock):
    membership = CountingMembership(Member('own:1', 'a'), clock)
    return Fleet(membership, None, None, None)


def test_a_single_vm_assumes_the_minimum_fleet_size():
    fleet = make(ManualClock())
    assert fleet.size() == MIN_FLEET_SIZE
    fleet.update_size()
    assert fleet.size() == MIN_FLEET_SIZE


def test_the_size_follows_the_membership():
    clock = ManualClock()
    fleet = make(clock)
    for number in range(VMS):
        fleet.membership.record_mention(Member(f'vm-{number}:1', 'a'))
    fleet.update_size()
    assert fleet.size() == VMS + 1
    clock.advance(100)
    fleet.update_size()
    assert fleet.size() == MIN_FLEET_SIZE


def test_reading_the_size_does_not_iterate_the_members():
    fleet = make(ManualClock())
    for _ in range(100):
        fleet.size()
    assert not fleet.membership.peer_calls
