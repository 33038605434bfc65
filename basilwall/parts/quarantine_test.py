"""Which of two contents that died on the same searcher is to blame."""

from basilwall.parts.clock import ManualClock
from basilwall.parts.quarantine import (
    MAX_STRIKES_PER_ENTRY,
    Quarantine,
    Suspicion,
)
from basilwall.records.strike import Evidence, Strike


def quarantine_of(**searchers_by_content):
    """Return a quarantine where contents died on searchers, at one moment."""
    quarantine = Quarantine(ManualClock())
    for content, searchers in searchers_by_content.items():
        quarantine.strike(
            content,
            [
                Strike(f'{content}/{one}', one, Evidence.DIED)
                for one in searchers
            ],
        )
    return quarantine


def test_the_content_with_more_deaths_is_blamed():
    quarantine = quarantine_of(crashing='ab', beside='a')
    assert quarantine.suspicion_of('crashing') is Suspicion.QUARANTINED
    assert quarantine.suspicion_of('beside') is Suspicion.SUSPECT


def test_a_death_that_another_content_explains_does_not_count():
    quarantine = quarantine_of(crashing='ab', unlucky='ac')
    assert quarantine.suspicion_of('unlucky') is Suspicion.SUSPECT


def test_contents_with_the_same_deaths_are_tried_once_more():
    quarantine = quarantine_of(crashing='ab', beside='ab')
    assert quarantine.suspicion_of('crashing') is Suspicion.SUSPECT
    quarantine.strike('crashing', [Strike('next', 'c', Evidence.DIED)])
    assert quarantine.suspicion_of('crashing') is Suspicion.QUARANTINED
    assert quarantine.suspicion_of('beside') is Suspicion.SUSPECT


def test_entries_and_strikes_are_capped():
    quarantine = Quarantine(ManualClock(), max_entries=2)
    for content in 'xyz':
        quarantine.strike(
            content,
            [Strike(f'{one}', f'{one}', Evidence.LOST) for one in range(99)],
        )
    assert [entry.fingerprint for entry in quarantine.entries()] == ['y', 'z']
    assert len(quarantine.struck_searchers('z')) == MAX_STRIKES_PER_ENTRY
