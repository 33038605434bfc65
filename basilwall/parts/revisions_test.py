"""The register, compared with a dictionary of the highest valid revisions."""

import threading

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
    MAX_KEYS,
    MAX_REVISION,
    RevisionRegister,
)
from basilwall.records.catalogue import PublishedValue

KEYS = st.sampled_from(['a', 'b', 'c'])
REVISIONS = st.integers(min_value=-1, max_value=12)
PEER_REVISIONS = st.integers(min_value=0, max_value=12)


def passes_check(key, revision):
    """Return whether a revision passes its check; always the same result."""
    return (revision + len(key) + ord(key)) % 3 != 0


def check(published):
    is_valid = passes_check(published.key, published.revision)
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
        taken = self.register.offer(PublishedValue(key, revision, b''))
        assert taken == (is_newer and is_valid)
        if taken:
            self.highest[key] = revision
            assert self.notified[-1].revision == revision
        elif is_newer:
            self.refused[key] = max(revision, self.refused.get(key, 0))

    @rule(key=KEYS, revision=REVISIONS)
    def record_peer_refusal_of(self, key, revision):
        self.register.record_peer_refusal(key, Refusal(revision, 'told'))
        if revision > self.highest.get(key, 0):
            self.refused[key] = max(revision, self.refused.get(key, 0))

    @rule(key=KEYS, revision=PEER_REVISIONS, refused=PEER_REVISIONS)
    def compare(self, key, revision, refused):
        theirs = {key: KeyDigest(revision, refused)}
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
        stored = {key: entry.revision for key, entry in digest.items()}
        assert {
            key: number for key, number in stored.items() if number
        } == self.highest
        shown = {
            key: entry.refused for key, entry in digest.items() if entry.refused
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
    register.offer(PublishedValue('a', 1, b''))
    before = register.hash()
    malformed_values = (
        PublishedValue('a', 2**63, b''),
        PublishedValue('a', MAX_REVISION + 1, b''),
        PublishedValue('', 2, b''),
        PublishedValue('k' * 300, 2, b''),
        PublishedValue('a', 2, bytes(2_000_000)),
    )
    assert not any(register.offer(published) for published in malformed_values)
    assert register.keys_to_request({'a': KeyDigest(2**63, 2**63)}) == []
    register.record_peer_refusal('a', Refusal(2**63, 'x'))
    assert register.hash() == before
    assert register.malformed >= len(malformed_values)


def test_the_number_of_keys_is_limited():
    register = RevisionRegister()
    for number in range(5000):
        register.offer(PublishedValue(f'k{number}', 1, b'x'))
    assert len(register.digest()) == 4096
    assert register.offer(PublishedValue('k0', 2, b''))


def test_two_revisions_of_a_key_are_applied_in_order():
    applied, entered = [], threading.Event()
    register = RevisionRegister()
    later = threading.Thread(
        target=lambda: register.offer(PublishedValue('a', 2, b'')),
    )

    def listener(published):
        if published.revision == 1:
            later.start()
            entered.wait(0.2)
        applied.append(published.revision)

    register.subscribe(listener)
    register.offer(PublishedValue('a', 1, b''))
    later.join()
    assert applied == [1, 2]


def test_a_failing_listener_does_not_stop_the_others():
    register, received = RevisionRegister(), []
    register.subscribe(lambda published: received.remove('nothing'))
    register.subscribe(lambda published: received.append(published.revision))
    assert register.offer(PublishedValue('a', 1, b''))
    assert received == [1]


def test_a_refused_revision_is_checked_and_requested_only_once():
    checked = []
    register = RevisionRegister(
        lambda published: str(checked.append(published.revision))
    )
    for _ in range(3):
        register.offer(PublishedValue('a', 2, b''))
    assert checked == [2]
    assert register.keys_to_request({'a': KeyDigest(2)}) == []
    assert register.keys_to_request({'a': KeyDigest(3)}) == ['a']


def test_a_value_whose_check_fails_with_an_error_holds_up_no_other():
    def apply(published):
        if published.body == b'odd':
            raise OverflowError('too large')
        return ''

    register = RevisionRegister(apply)
    assert not register.offer(PublishedValue('odd', 1, b'odd'))
    assert register.offer(PublishedValue('other', 2, b'good'))
    assert 'too large' in register.refusals(['odd'])['odd'].reason


def test_keys_that_come_and_go_without_end_leave_room_for_new_ones():
    register = RevisionRegister()
    register.offer(PublishedValue('stays', 1, b'x'))
    for revision in range(2, 3 * MAX_KEYS, 2):
        key = f'k{revision}'
        assert register.offer(PublishedValue(key, revision, b'x'))
        assert register.offer(PublishedValue(key, revision + 1, b''))
    assert register.values_for(['stays'])
    # A VM that is behind may still send what was removed.
    assert not register.offer(PublishedValue('k2', 2, b'x'))
    assert register.keys_to_request({'k2': KeyDigest(3, 0)}) == []


def test_values_of_unwanted_keys_are_not_kept():
    register = RevisionRegister(is_wanted=lambda key: key == 'a')
    for key in 'ab':
        register.offer(PublishedValue(key, 1, b'x' * 1000))
    assert register.digest().keys() == {'a'}
    assert not register.malformed


def test_a_value_is_as_large_as_the_platform_allows():
    register = RevisionRegister(max_body_bytes=2 * MAX_BODY_BYTES)
    assert register.offer(PublishedValue('a', 1, b'x' * (2 * MAX_BODY_BYTES)))
    too_large = b'x' * (2 * MAX_BODY_BYTES + 1)
    assert not register.offer(PublishedValue('b', 1, too_large))
