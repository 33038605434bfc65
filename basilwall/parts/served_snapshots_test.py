"""Reports of served snapshots expire, and their number is limited."""

from basilwall.parts.clock import ManualClock
from basilwall.parts.served_snapshots import ServedSnapshots


def test_a_report_expires_unless_refreshed():
    clock = ManualClock()
    served_snapshots = ServedSnapshots(clock, ttl_seconds=10)
    served_snapshots.record_reply('a', ('s1',), 's1', is_denied=False)
    assert served_snapshots.lacks('a', 's2')
    assert not served_snapshots.lacks('a', 's1')
    assert not served_snapshots.lacks('b', 's2')
    clock.advance(9)
    served_snapshots.record_reply('a', ('s1',), 's1', is_denied=False)
    clock.advance(9)
    assert served_snapshots.lacks('a', 's2')
    clock.advance(1)
    assert not served_snapshots.lacks('a', 's2')


def test_a_denial_stays_after_replies_from_other_snapshots():
    clock = ManualClock()
    served_snapshots = ServedSnapshots(clock, ttl_seconds=10)
    for serves in ((), ('s1', 's2')):
        served_snapshots.record_reply('a', serves, 's2', is_denied=True)
        served_snapshots.record_reply('a', serves, 's1', is_denied=False)
        assert served_snapshots.lacks('a', 's2')
        served_snapshots.record_reply('a', serves, 's2', is_denied=False)
        assert not served_snapshots.lacks('a', 's2')
    served_snapshots.record_reply('a', ('s1',), 's2', is_denied=True)
    served_snapshots.record_reply('a', ('s2', 's1'), 's1', is_denied=False)
    assert not served_snapshots.lacks('a', 's2')


def test_the_oldest_report_is_evicted():
    served_snapshots = ServedSnapshots(ManualClock(), max_searchers=2)
    for address in 'abca':
        served_snapshots.record_reply(address, ('s0',), 's0', is_denied=False)
    assert len(served_snapshots) == 2
    assert [served_snapshots.lacks(searcher, 's1') for searcher in 'abc'] == [
        True,
        False,
        True,
    ]
