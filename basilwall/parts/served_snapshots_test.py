"""What is remembered of searchers ends by age and by number."""

from basilwall.parts.clock import ManualClock
from basilwall.parts.served_snapshots import ServedSnapshots


def test_a_sighting_is_believed_for_a_while_and_renewed():
    clock = ManualClock()
    sightings = ServedSnapshots(clock, belief=10)
    sightings.record_reply('a', ('s1',), 's1', is_denied=False)
    assert sightings.lacks('a', 's2')
    assert not sightings.lacks('a', 's1')
    assert not sightings.lacks('b', 's2')
    clock.advance(9)
    sightings.record_reply('a', ('s1',), 's1', is_denied=False)
    clock.advance(9)
    assert sightings.lacks('a', 's2')
    clock.advance(1)
    assert not sightings.lacks('a', 's2')


def test_a_denial_outlives_replies_about_other_snapshots():
    clock = ManualClock()
    sightings = ServedSnapshots(clock, belief=10)
    for serves in ((), ('s1', 's2')):
        sightings.record_reply('a', serves, 's2', is_denied=True)
        sightings.record_reply('a', serves, 's1', is_denied=False)
        assert sightings.lacks('a', 's2')
        sightings.record_reply('a', serves, 's2', is_denied=False)
        assert not sightings.lacks('a', 's2')
    sightings.record_reply('a', ('s1',), 's2', is_denied=True)
    sightings.record_reply('a', ('s2', 's1'), 's1', is_denied=False)
    assert not sightings.lacks('a', 's2')


def test_the_oldest_sighting_makes_room():
    sightings = ServedSnapshots(ManualClock(), max_searchers=2)
    for address in 'abca':
        sightings.record_reply(address, ('s0',), 's0', is_denied=False)
    assert len(sightings) == 2
    assert [sightings.lacks(one, 's1') for one in 'abc'] == [True, False, True]
