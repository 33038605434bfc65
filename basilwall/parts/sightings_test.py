"""What is remembered of searchers ends by age and by number."""

from basilwall.parts.clock import ManualClock
from basilwall.parts.sightings import Sightings


def test_a_sighting_is_believed_for_a_while_and_renewed():
    clock = ManualClock()
    sightings = Sightings(clock, belief=10)
    sightings.note('a', ('s1',), 's1', denied=False)
    assert sightings.lacks('a', 's2')
    assert not sightings.lacks('a', 's1')
    assert not sightings.lacks('b', 's2')
    clock.advance(9)
    sightings.note('a', ('s1',), 's1', denied=False)
    clock.advance(9)
    assert sightings.lacks('a', 's2')
    clock.advance(1)
    assert not sightings.lacks('a', 's2')


def test_a_denial_outlives_replies_about_other_snapshots():
    clock = ManualClock()
    sightings = Sightings(clock, belief=10)
    for serves in ((), ('s1', 's2')):
        sightings.note('a', serves, 's2', denied=True)
        sightings.note('a', serves, 's1', denied=False)
        assert sightings.lacks('a', 's2')
        sightings.note('a', serves, 's2', denied=False)
        assert not sightings.lacks('a', 's2')
    sightings.note('a', ('s1',), 's2', denied=True)
    sightings.note('a', ('s2', 's1'), 's1', denied=False)
    assert not sightings.lacks('a', 's2')


def test_the_oldest_sighting_makes_room():
    sightings = Sightings(ManualClock(), max_searchers=2)
    for address in 'abca':
        sightings.note(address, ('s0',), 's0', denied=False)
    assert len(sightings) == 2
    assert [sightings.lacks(one, 's1') for one in 'abc'] == [True, False, True]
