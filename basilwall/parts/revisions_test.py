"""The register, compared with a dictionary of the highest valid revisions."""

import threading

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from basilwall.parts.digests import (
    KeyDigest,
    newer_refusals,
    newer_values,
)
from basilwall.parts.refusals import Refusal
from basilwall.parts.revisions import (
    MAX_BODY_BYTES,
    MAX_STORED_BYTES,
    RevisionRegister,
)
from basilwall.records.catalogue import PublishedValue
from basilwall.records.revision import NO_REVISION, Revision

KEYS = st.sampled_from(['a', 'b', 'c'])
REVISIONS = st.integers(min_value=-1, max_value=12)
#: About the largest integers of other programs, and far beyond.
LARGE_NUMBERS = (10**11 - 1, 2**53, 2**63 - 1, 2**64 - 1, 10**40)
#: How many keys a register once held at most.
FORMER_MAX_KEYS = 4096
PEER_REVISIONS = st.integers(min_value=0, max_value=12)


def passes_check(key, revision):
    """Return whether a revision passes its check; always the same result."""
    return (revision + len(key) + ord(key)) % 3 != 0


def check(published):
    is_valid = passes_check(published.key, published.revision.number)
    return '' if is_valid else 'no good'


class RegisterMachine(RuleBasedStateMachine):
    """Offers in any order, with repeated and refused revisions."""

    def __init__(self):
        super().__init__()
        self.register = RevisionRegister(check)
        self.notified = []
        self.register.subscribe(self.notified.append)
        self.highest = {}
        self.refused = {}

    @rule(key=KEYS, revision=REVISIONS)
    def offer(self, key, revision):
        is_newer = revision > self.highest.get(key, 0)
        is_valid = passes_check(key, revision)
        taken = self.register.offer(
            PublishedValue(key, Revision(0, revision), b'')
        )
        assert taken == (is_newer and is_valid)
        if taken:
            self.highest[key] = revision
            assert self.notified[-1].revision.number == revision
        elif is_newer:
            self.refused[key] = max(revision, self.refused.get(key, 0))

    @rule(key=KEYS, revision=REVISIONS)
    def record_peer_refusal_of(self, key, revision):
        self.register.record_peer_refusal(
            key, Refusal(Revision(0, revision), 'told')
        )
        if revision > self.highest.get(key, 0):
            self.refused[key] = max(revision, self.refused.get(key, 0))

    @rule(key=KEYS, revision=PEER_REVISIONS, refused=PEER_REVISIONS)
    def compare(self, key, revision, refused):
        theirs = {key: KeyDigest(Revision(0, revision), Revision(0, refused))}
        mine = self.register.digest()
        stored = self.highest.get(key, 0)
        newer = newer_values(mine, theirs)
        assert (key in newer) == (stored > revision and stored != refused)
        wanted = self.register.keys_to_request(theirs)
        if revision > stored and passes_check(key, revision):
            assert wanted == [key]
        if max(revision, refused) <= stored:
            assert not wanted
        is_refusal_new = self.refused.get(key, 0) > max(
            stored, revision, refused
        )
        assert (key in newer_refusals(mine, theirs)) == is_refusal_new

    @invariant()
    def stores_the_highest_valid_revision(self):
        digest = self.register.digest()
        stored = {key: entry.revision.number for key, entry in digest.items()}
        assert {
            key: number for key, number in stored.items() if number
        } == self.highest
        shown = {
            key: entry.refused.number
            for key, entry in digest.items()
            if entry.refused != NO_REVISION
        }
        assert shown == {
            key: revision
            for key, revision in self.refused.items()
            if revision > self.highest.get(key, 0)
        }

    @invariant()
    def hash_matches_the_digest(self):
        other = RevisionRegister()
        for published in self.register.values_for('abc'):
            other.offer(published)
        for key, refusal in self.register.refusals('abc').items():
            other.record_peer_refusal(key, refusal)
        assert other.hash() == self.register.hash()


TestRegister = RegisterMachine.TestCase


def test_malformed_values_are_counted_and_change_nothing():
    register = RevisionRegister()
    register.offer(PublishedValue('a', Revision(0, 1), b''))
    before = register.hash()
    malformed_values = (
        PublishedValue('a', Revision(-1, 2), b''),
        PublishedValue('a', Revision(1, -1), b''),
        PublishedValue('b', Revision(0, -1), b''),
        PublishedValue('', Revision(0, 2), b''),
        PublishedValue('k' * 300, Revision(0, 2), b''),
        PublishedValue('a', Revision(0, 2), bytes(2_000_000)),
    )
    assert not any(register.offer(published) for published in malformed_values)
    malformed = Revision(1, -1)
    assert (
        register.keys_to_request({'a': KeyDigest(malformed, malformed)}) == []
    )
    register.record_peer_refusal('a', Refusal(malformed, 'x'))
    assert register.hash() == before
    assert register.malformed >= len(malformed_values)


@pytest.mark.parametrize('number', LARGE_NUMBERS)
def test_no_revision_is_too_high_for_a_change_to_count(number):
    register = RevisionRegister()
    for revision in (
        Revision(0, number),
        Revision(0, number + 1),
        Revision(number, 1),
        Revision(number, number),
        Revision(number + 1, 1),
    ):
        assert register.offer(PublishedValue('a', revision, b'x'))
        assert register.digest()['a'].revision == revision
        wanted = KeyDigest(Revision(revision.epoch, revision.number + 1))
        assert register.keys_to_request({'a': wanted}) == ['a']
    assert not register.offer(PublishedValue('a', Revision(0, number), b'y'))
    assert not register.malformed


def test_as_many_searchers_are_stored_as_the_platform_lists():
    register = RevisionRegister()
    for number in range(5 * FORMER_MAX_KEYS):
        key = f'servers/{number}'
        assert register.offer(PublishedValue(key, Revision(0, 1), bytes(300)))
    assert len(register.digest()) == 5 * FORMER_MAX_KEYS


def test_the_size_of_all_values_is_limited():
    register = RevisionRegister()
    for number in range(100):
        key = f'k{number}'
        register.offer(PublishedValue(key, Revision(0, 1), bytes(2**20)))
    assert 60 <= len(register.digest()) <= 64
    assert register.offer(PublishedValue('k0', Revision(0, 2), b''))
    assert register.offer(PublishedValue('new', Revision(0, 3), b'x'))


def test_the_size_of_all_refusals_is_limited():
    register = RevisionRegister()
    for number in range(100_000):
        refusal = Refusal(Revision(0, 1), 'x' * 1000)
        register.record_peer_refusal(f'k{number}', refusal)
    assert len(register.digest()) <= MAX_STORED_BYTES / 1000


def test_two_revisions_of_a_key_are_applied_in_order():
    applied, entered = [], threading.Event()
    register = RevisionRegister()
    later = threading.Thread(
        target=lambda: register.offer(PublishedValue('a', Revision(0, 2), b'')),
    )

    def listener(published):
        if published.revision.number == 1:
            later.start()
            entered.wait(0.2)
        applied.append(published.revision.number)

    register.subscribe(listener)
    register.offer(PublishedValue('a', Revision(0, 1), b''))
    later.join()
    assert applied == [1, 2]


def test_a_failing_listener_does_not_stop_the_others():
    register, received = RevisionRegister(), []
    register.subscribe(lambda published: received.remove('nothing'))
    register.subscribe(
        lambda published: received.append(published.revision.number)
    )
    assert register.offer(PublishedValue('a', Revision(0, 1), b''))
    assert received == [1]


def test_a_refused_revision_is_checked_and_requested_only_once():
    checked = []
    register = RevisionRegister(
        lambda published: str(checked.append(published.revision.number))
    )
    for _ in range(3):
        register.offer(PublishedValue('a', Revision(0, 2), b''))
    assert checked == [2]
    assert register.keys_to_request({'a': KeyDigest(Revision(0, 2))}) == []
    assert register.keys_to_request({'a': KeyDigest(Revision(0, 3))}) == ['a']


def test_a_value_whose_check_fails_with_an_error_holds_up_no_other():
    def apply(published):
        if published.body == b'odd':
            raise OverflowError('too large')
        return ''

    register = RevisionRegister(apply)
    assert not register.offer(PublishedValue('odd', Revision(0, 1), b'odd'))
    assert register.offer(PublishedValue('other', Revision(0, 2), b'good'))
    assert 'too large' in register.refusals(['odd'])['odd'].reason


def test_keys_that_come_and_go_without_end_leave_room_for_new_ones():
    register = RevisionRegister()
    register.offer(PublishedValue('stays', Revision(0, 1), b'x'))
    for revision in range(2, 3 * FORMER_MAX_KEYS, 2):
        key = f'k{revision}'
        assert register.offer(PublishedValue(key, Revision(0, revision), b'x'))
        assert register.offer(
            PublishedValue(key, Revision(0, revision + 1), b'')
        )
    assert register.values_for(['stays'])
    # A VM that is behind may still send what was removed.
    assert not register.offer(PublishedValue('k2', Revision(0, 2), b'x'))
    assert (
        register.keys_to_request(
            {'k2': KeyDigest(Revision(0, 3), Revision(0, 0))}
        )
        == []
    )


def test_values_of_unwanted_keys_are_not_kept():
    register = RevisionRegister(is_wanted=lambda key: key == 'a')
    for key in 'ab':
        register.offer(PublishedValue(key, Revision(0, 1), b'x' * 1000))
    assert register.digest().keys() == {'a'}
    assert not register.malformed


def test_a_value_is_as_large_as_the_platform_allows():
    register = RevisionRegister(max_body_bytes=2 * MAX_BODY_BYTES)
    assert register.offer(
        PublishedValue('a', Revision(0, 1), b'x' * (2 * MAX_BODY_BYTES))
    )
    too_large = b'x' * (2 * MAX_BODY_BYTES + 1)
    assert not register.offer(PublishedValue('b', Revision(0, 1), too_large))
