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
