"""The register against a dictionary that keeps the highest good revision."""

import threading

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from basilwall.parts.digests import (
    KeyDigest,
    newer_refusals,
    newer_values,
)
from basilwall.parts.refusals import Refusal
from basilwall.parts.revisions import MAX_REVISION, RevisionRegister
from basilwall.records.catalogue import PublishedValue

KEYS = st.sampled_from(['a', 'b', 'c'])
REVISIONS = st.integers(min_value=-1, max_value=12)
TRAVELLED = st.integers(min_value=0, max_value=12)


def is_good(key, revision):
    """Decide for ever whether a revision of a key passes its check."""
    return (revision + len(key) + ord(key)) % 3 != 0


def check(published):
    good = is_good(published.key, published.revision)
    return '' if good else 'no good'


class RegisterMachine(RuleBasedStateMachine):
    """Offers in any order, also twice, also of refused revisions."""

    def __init__(self):
        super().__init__()
        self.register = RevisionRegister(check)
        self.told = []
        self.register.subscribe(self.told.append)
        self.highest = {}
        self.refused = {}

    @rule(key=KEYS, revision=REVISIONS)
    def offer(self, key, revision):
        news = revision > self.highest.get(key, 0)
        good = is_good(key, revision)
        taken = self.register.offer(PublishedValue(key, revision, b''))
        assert taken == (news and good)
        if taken:
            self.highest[key] = revision
            assert self.told[-1].revision == revision
        elif news:
            self.refused[key] = max(revision, self.refused.get(key, 0))

    @rule(key=KEYS, revision=REVISIONS)
    def hear_of_a_refusal(self, key, revision):
        self.register.record_peer_refusal(key, Refusal(revision, 'told'))
        if revision > self.highest.get(key, 0):
            self.refused[key] = max(revision, self.refused.get(key, 0))

    @rule(key=KEYS, revision=TRAVELLED, refused=TRAVELLED)
    def compare(self, key, revision, refused):
        theirs = {key: KeyDigest(revision, refused)}
        mine = self.register.digest()
        held = self.highest.get(key, 0)
        lacking = newer_values(mine, theirs)
        assert (key in lacking) == (held > revision and held != refused)
        wanted = self.register.keys_to_request(theirs)
        if revision > held and is_good(key, revision):
            assert wanted == [key]
        if max(revision, refused) <= held:
            assert not wanted
        unheard = self.refused.get(key, 0) > max(held, revision, refused)
        assert (key in newer_refusals(mine, theirs)) == unheard

    @invariant()
    def holds_the_highest_good_revision(self):
        digest = self.register.digest()
        held = {key: one.revision for key, one in digest.items()}
        assert {key: one for key, one in held.items() if one} == self.highest
        shown = {key: one.refused for key, one in digest.items() if one.refused}
        assert shown == {
            key: revision
            for key, revision in self.refused.items()
            if revision > self.highest.get(key, 0)
        }

    @invariant()
    def hash_is_that_of_the_digest(self):
        other = RevisionRegister()
        for published in self.register.values_for('abc'):
            other.offer(published)
        for key, refusal in self.register.refusals('abc').items():
            other.record_peer_refusal(key, refusal)
        assert other.hash() == self.register.hash()


TestRegister = RegisterMachine.TestCase


def test_absurd_values_are_counted_and_disturb_nothing():
    register = RevisionRegister()
    register.offer(PublishedValue('a', 1, b''))
    before = register.hash()
    absurd = (
        PublishedValue('a', 2**63, b''),
        PublishedValue('a', MAX_REVISION + 1, b''),
        PublishedValue('', 2, b''),
        PublishedValue('k' * 300, 2, b''),
        PublishedValue('a', 2, bytes(2_000_000)),
    )
    assert not any(register.offer(one) for one in absurd)
    assert register.keys_to_request({'a': KeyDigest(2**63, 2**63)}) == []
    register.record_peer_refusal('a', Refusal(2**63, 'x'))
    assert register.hash() == before
    assert register.malformed >= len(absurd)


def test_keys_are_capped():
    register = RevisionRegister()
    for number in range(5000):
        register.offer(PublishedValue(f'k{number}', 1, b''))
    assert len(register.digest()) == 4096
    assert register.offer(PublishedValue('k0', 2, b''))


def test_two_revisions_of_a_key_are_applied_in_order():
    in_force, entered = [], threading.Event()
    register = RevisionRegister()
    later = threading.Thread(
        target=lambda: register.offer(PublishedValue('a', 2, b'')),
    )

    def listener(published):
        if published.revision == 1:
            later.start()
            entered.wait(0.2)
        in_force.append(published.revision)

    register.subscribe(listener)
    register.offer(PublishedValue('a', 1, b''))
    later.join()
    assert in_force == [1, 2]


def test_a_listener_that_fails_stops_no_other_value():
    register, heard = RevisionRegister(), []
    register.subscribe(lambda published: heard.remove('nothing'))
    register.subscribe(lambda published: heard.append(published.revision))
    assert register.offer(PublishedValue('a', 1, b''))
    assert heard == [1]


def test_a_refused_revision_is_checked_once_and_not_asked_for_again():
    checked = []
    register = RevisionRegister(lambda one: str(checked.append(one.revision)))
    for _ in range(3):
        register.offer(PublishedValue('a', 2, b''))
    assert checked == [2]
    assert register.keys_to_request({'a': KeyDigest(2)}) == []
    assert register.keys_to_request({'a': KeyDigest(3)}) == ['a']
