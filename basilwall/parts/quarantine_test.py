"""Quarantine of contents when several ran on a searcher that died."""

from basilwall.parts.clock import ManualClock
from basilwall.parts.content_strikes import MAX_STRIKES
from basilwall.parts.quarantine import Quarantine, Suspicion
from basilwall.records.strike import Evidence, Strike


def quarantine_of(**searchers_by_content):
    """Return a quarantine with contents whose searchers died at one time."""
    quarantine = Quarantine(ManualClock())
    for content, searchers in searchers_by_content.items():
        quarantine.strike(
            content,
            [
                Strike(f'{content}/{searcher}', searcher, Evidence.DIED)
                for searcher in searchers
            ],
        )
    return quarantine


def test_the_content_with_more_deaths_is_quarantined():
    quarantine = quarantine_of(crashing='ab', beside='a')
    assert quarantine.suspicion_of('crashing') is Suspicion.QUARANTINED
    assert quarantine.suspicion_of('beside') is Suspicion.SUSPECT


def test_a_death_explained_by_another_content_does_not_count():
    quarantine = quarantine_of(crashing='ab', unlucky='ac')
    assert quarantine.suspicion_of('unlucky') is Suspicion.SUSPECT


def test_contents_with_the_same_deaths_stay_suspect_until_the_next_death():
    quarantine = quarantine_of(crashing='ab', beside='ab')
    assert quarantine.suspicion_of('crashing') is Suspicion.SUSPECT
    quarantine.strike('crashing', [Strike('next', 'c', Evidence.DIED)])
    assert quarantine.suspicion_of('crashing') is Suspicion.QUARANTINED
    assert quarantine.suspicion_of('beside') is Suspicion.SUSPECT


def test_entries_and_strikes_are_limited():
    quarantine = Quarantine(ManualClock(), max_entries=2)
    for content in 'xyz':
        quarantine.strike(
            content,
            [
                Strike(f'{number}', f'{number}', Evidence.LOST)
                for number in range(99)
            ],
        )
    assert [entry.fingerprint for entry in quarantine.entries()] == ['y', 'z']
    assert len(quarantine.struck_searchers('z')) == MAX_STRIKES


def test_deaths_at_one_address_count_each_once_it_has_started_again():
    clock = ManualClock()
    quarantine = Quarantine(clock)
    for number in range(2):
        clock.advance(10)
        quarantine.strike(
            'crashing', [Strike(f'{number}', 'only', Evidence.DIED)]
        )
    assert quarantine.suspicion_of('crashing') is Suspicion.QUARANTINED


def test_a_content_that_keeps_coming_ends_ever_fewer_searchers():
    clock = ManualClock()
    quarantine = Quarantine(clock)
    crashed_at = []
    end_at = clock.monotonic() + 2 * 3600
    while clock.monotonic() < end_at:
        clock.advance(10)
        if quarantine.suspicion_of('deadly') is Suspicion.QUARANTINED:
            assert quarantine.seconds_refused('deadly') > 0
            continue
        crashed_at.append(clock.monotonic())
        number = len(crashed_at)
        quarantine.strike(
            'deadly', [Strike(f'{number}', f's{number}', Evidence.DIED)]
        )
    late = [at for at in crashed_at if at > crashed_at[2] + 5]
    assert len(late) <= 3


def test_a_content_is_tried_alone_after_its_quarantine():
    clock = ManualClock()
    quarantine = Quarantine(clock)
    for searcher in 'ab':
        quarantine.strike('x', [Strike(searcher, searcher, Evidence.DIED)])
    clock.advance(quarantine.seconds_refused('x') - 1)
    assert quarantine.suspicion_of('x') is Suspicion.QUARANTINED
    clock.advance(2)
    assert quarantine.suspicion_of('x') is Suspicion.SUSPECT
    quarantine.strike('x', [Strike('c', 'c', Evidence.DIED)])
    assert quarantine.suspicion_of('x') is Suspicion.QUARANTINED
    clock.advance(10 * quarantine.seconds_refused('x'))
    assert quarantine.suspicion_of('x') is Suspicion.NONE


def test_a_pending_strike_after_a_quarantine_awaits_its_verdict():
    clock = ManualClock()
    quarantine = Quarantine(clock)
    for searcher in 'ab':
        quarantine.strike('x', [Strike(searcher, searcher, Evidence.DIED)])
    clock.advance(quarantine.seconds_refused('x') + 1)
    quarantine.strike('x', [Strike('c', 'c', Evidence.PENDING)])
    assert quarantine.suspicion_of('x') is Suspicion.AWAITING_VERDICT


def test_strikes_that_arrive_late_refuse_a_content_no_longer():
    clock = ManualClock()
    first, other = Quarantine(clock), Quarantine(clock)
    for searcher in 'ab':
        first.strike('x', [Strike(searcher, searcher, Evidence.DIED)])
    clock.advance(100)
    (entry,) = first.entries()
    other.strike('x', first.aged_strikes(entry), first.seconds_left('x'))
    assert other.seconds_refused('x') == first.seconds_refused('x')
    assert other.seconds_left('x') == first.seconds_left('x')
