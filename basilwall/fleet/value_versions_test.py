"""What a VM sends of a large value: only what the other one lacks."""

import json
import random

import pytest

from basilwall.fleet.changes import ValueForm, decode_value
from basilwall.fleet.value_versions import MAX_FORMER_VERSIONS, ValueVersions
from basilwall.parts.revisions import MAX_BODY_BYTES
from basilwall.records.catalogue import PublishedValue
from basilwall.records.revision import Revision


def version(revision):
    rng = random.Random(1)
    rows = [{'name': f'{rng.getrandbits(60):x}'} for _ in range(300)]
    rows[revision]['name'] = 'changed'
    return PublishedValue('k', Revision(0, revision), json.dumps(rows).encode())


@pytest.fixture(name='versions')
def _versions():
    kept = ValueVersions()
    for revision in range(1, MAX_FORMER_VERSIONS + 3):
        kept.note_change(version(revision))
    return kept


LATEST = version(MAX_FORMER_VERSIONS + 2)


@pytest.mark.parametrize('known', range(2, MAX_FORMER_VERSIONS + 2))
def test_a_vm_with_a_former_version_is_sent_what_changed(versions, known):
    relayed = versions.encode(LATEST, {'k': known})
    assert len(relayed.body) < 200
    assert decode_value(relayed, {'k': version(known)}) == LATEST


@pytest.mark.parametrize('known', [{}, {'k': 1}, {'k': 99}, {'other': 3}])
def test_a_vm_with_no_version_or_an_unknown_one_is_sent_all(versions, known):
    relayed = versions.encode(LATEST, known)
    assert relayed.form == ValueForm.COMPRESSED
    assert decode_value(relayed, {}) == LATEST


def test_what_was_encoded_for_one_version_is_not_sent_for_another(versions):
    for known in (3, 4, 3):
        relayed = versions.encode(LATEST, {'k': known})
        assert decode_value(relayed, {'k': version(known)}) == LATEST
    following = version(MAX_FORMER_VERSIONS + 3)
    versions.note_change(following)
    relayed = versions.encode(following, {'k': 4})
    assert decode_value(relayed, {'k': version(4)}) == following


def test_a_value_that_was_removed_is_relayed_as_removed(versions):
    removed = PublishedValue('k', Revision(0, 99), b'')
    versions.note_change(removed)
    relayed = versions.encode(removed, {'k': 3})
    assert decode_value(relayed, {}) == removed


def test_a_former_version_larger_than_usual_is_relayed_as_a_delta():
    rows = json.dumps([{'name': f'{one}' * 40} for one in range(30_000)])
    assert len(rows) > MAX_BODY_BYTES
    former = PublishedValue('k', Revision(0, 1), rows.encode())
    current = PublishedValue('k', Revision(0, 2), rows.encode() + b' ')
    kept = ValueVersions()
    for published in (former, current):
        kept.note_change(published)
    relayed = kept.encode(current, {'k': 1})
    assert relayed.form == ValueForm.DELTA
    limit = len(rows) + 1
    assert decode_value(relayed, {'k': former}, limit) == current
