"""The client of the metadata store: epochs, lost history, listings."""

import math
import random
from functools import partial

import pytest

from basilwall.configuration.client import PlatformError, UnusableReplyError
from basilwall.configuration.limited_read import read_body
from basilwall.configuration.transfer_progress import TransferProgress
from basilwall.parts.clock import SystemClock
from basilwall.platform.store import HttpStoreClient
from basilwall.records.revision import NO_REVISION, Revision
from basilwall.standin.metadata_store import ITEMS_PER_PAGE, MetadataStore
from basilwall.standin.ports import reserved_ports


@pytest.fixture(name='store')
def _store():
    with reserved_ports(1) as base:
        store = MetadataStore(f'127.0.0.1:{base}')
        store.start()
        yield store
        store.stop()


@pytest.fixture(name='progress')
def _progress():
    return TransferProgress(SystemClock())


@pytest.fixture(name='client')
def _client(store, progress):
    return HttpStoreClient(
        store.address, 0.2, progress, SystemClock(), random.Random(1)
    )


#: The most that is read of a reply, where a test sets it.
MAX_READ_BYTES = 40_000
#: About the largest integers of other programs, and far beyond.
LARGE_NUMBERS = (10**11, 2**53, 2**63, 2**64, 10**40)


def bodies(reply):
    return {published.key: published.body for published in reply.values}


def test_a_watch_gives_the_changes_after_a_revision(store, client):
    store.put('a', b'1')
    listed = client.watch(NO_REVISION)
    assert (listed.is_whole, bodies(listed)) == (True, {'a': b'1'})
    store.put('b', b'2')
    store.remove('a')
    changes = client.watch(listed.revision)
    assert not changes.is_whole
    assert bodies(changes) == {'b': b'2', 'a': b''}
    assert changes.revision == Revision(1, listed.revision.number + 2)


def test_a_call_that_the_store_refuses_is_no_contact(store, client, progress):
    store.is_down = True
    with pytest.raises(PlatformError):
        client.watch(NO_REVISION)
    assert progress.contact_at() == -math.inf
    store.is_down = False
    client.watch(NO_REVISION)
    assert progress.contact_at() > 0


@pytest.mark.parametrize('odd', ['\ud800', 'a\udc80', '\x00', '"', ''])
def test_a_key_that_is_no_text_does_not_hide_the_other_keys(store, client, odd):
    for number in range(ITEMS_PER_PAGE - 1):
        store.put(f'{number}', b'x')
    store.put(odd, b'2')
    store.put('a', b'1')
    listed = client.watch(NO_REVISION)
    assert bodies(listed)['a'] == b'1'
    store.put(f'{odd}/x', b'3')
    store.put('b', b'4')
    changes = client.watch(listed.revision)
    assert bodies(changes)['b'] == b'4'


def test_a_listing_of_many_pages_is_whole(store, client):
    for number in range(3 * ITEMS_PER_PAGE):
        store.put(f'k{number}', b'x')
    assert len(client.watch(NO_REVISION).values) == 3 * ITEMS_PER_PAGE


def test_revisions_rise_though_the_store_gives_them_out_again(store, client):
    store.put('a', b'1')
    copy = store.copy()
    for number in range(5):
        store.put('b', b'%d' % number)
    before = client.watch(NO_REVISION)
    store.restore(copy)
    store.put('c', b'3')
    reply = client.watch(before.revision)
    assert reply.is_whole
    assert reply.is_restored
    assert bodies(reply) == {'a': b'1', 'c': b'3'}
    assert reply.revision > before.revision
    assert all(one.revision > before.revision for one in reply.values)
    store.put('a', b'4')
    changes = client.watch(reply.revision)
    assert (changes.is_restored, bodies(changes)) == (False, {'a': b'4'})


def test_a_revision_that_both_epochs_have_is_not_continued(store, client):
    store.put('a', b'1')
    copy = store.copy()
    store.put('a', b'2')
    before = client.watch(NO_REVISION)
    store.restore(copy)
    store.put('b', b'3')
    store.put('b', b'4')
    reply = client.watch(before.revision)
    assert reply.is_restored
    assert bodies(reply) == {'a': b'1', 'b': b'4'}


def test_a_lost_history_is_no_restored_store(store, client):
    store.put('a', b'1')
    before = client.watch(NO_REVISION)
    store.put('a', b'2')
    store.compact()
    reply = client.watch(before.revision)
    assert (reply.is_whole, reply.is_restored) == (True, False)


def test_a_response_of_an_older_epoch_is_not_used(store, client):
    store.put('a', b'1')
    with pytest.raises(PlatformError):
        client.watch(Revision(store.era + 1, 1))


@pytest.mark.parametrize('era', ['', 'x', '-1', '1.5', '\xb2', '9' * 5000])
def test_an_invalid_epoch_counts_as_none(store, client, era):
    store.put('a', b'1')
    known = client.watch(NO_REVISION).revision
    store.era = era
    store.put('a', b'2')
    assert bodies(client.watch(known)) == {'a': b'2'}
    assert bodies(client.watch(NO_REVISION)) == {'a': b'2'}


@pytest.mark.parametrize('number', LARGE_NUMBERS)
def test_changes_are_read_at_any_height_of_the_counter(store, client, number):
    store.count_on_from(number - 2)
    store.put('a', b'1')
    listed = client.watch(NO_REVISION)
    assert listed.revision == Revision(1, number - 1)
    for further in range(3):
        store.put('a', b'%d' % further)
    changes = client.watch(listed.revision)
    assert changes.revision == Revision(1, number + 2)
    assert bodies(changes)['a'] == b'2'


@pytest.mark.parametrize('epoch', LARGE_NUMBERS)
def test_copies_are_told_apart_by_an_epoch_of_any_height(store, client, epoch):
    store.era = epoch
    store.put('a', b'1')
    copy = store.copy()
    store.put('a', b'2')
    before = client.watch(NO_REVISION)
    store.restore(copy)
    reply = client.watch(before.revision)
    assert reply.is_restored
    assert reply.revision.epoch == epoch + 1
    assert reply.revision > before.revision
    store.era = epoch
    with pytest.raises(PlatformError):
        client.watch(reply.revision)


@pytest.mark.parametrize(
    'odd', [{'revision': -1}, {'revision': 'x'}, {'revision': 1e30}, {}]
)
def test_an_item_that_cannot_be_used_does_not_hide_the_other_items(
    store, client, odd, monkeypatch
):
    read_page, watch = store.read_page, store.watch
    entry = {'key': 'odd', 'value': 'MQ==', **odd}

    def page_with_odd_item(prefix, after):
        page = read_page(prefix, after)
        return {**page, 'items': [*page['items'], entry]}

    def changes_with_odd_item(*asked):
        changes = watch(*asked)
        return {**changes, 'events': [entry, *changes['events']]}

    monkeypatch.setattr(store, 'read_page', page_with_odd_item)
    monkeypatch.setattr(store, 'watch', changes_with_odd_item)
    store.put('a', b'1')
    listed = client.watch(NO_REVISION)
    assert bodies(listed) == {'a': b'1'}
    assert listed.live_keys == ('odd',)
    store.put('b', b'2')
    assert bodies(client.watch(listed.revision)) == {'b': b'2'}
    assert client.unusable_count == 2


def test_an_epoch_that_is_none_is_logged_once(store, client, caplog):
    store.era = 'x'
    store.put('a', b'1')
    for _ in range(3):
        client.watch(NO_REVISION)
    lines = [one.message for one in caplog.records]
    assert lines.count('invalid epoch of the store') == 1
    assert client.unusable_count == 3


def test_changes_count_though_the_reply_to_a_watch_cannot_be_used(
    store, client, monkeypatch
):
    store.put('a', b'1')
    known = client.watch(NO_REVISION).revision
    monkeypatch.setattr(store, 'watch', lambda *_: {'events': [], 'at': 'x'})
    store.put('a', b'2')
    with pytest.raises(UnusableReplyError):
        client.watch(known)
    reply = client.watch(known)
    assert (reply.is_whole, bodies(reply)) == (True, {'a': b'2'})
    monkeypatch.undo()
    store.put('a', b'3')
    assert not client.watch(reply.revision).is_whole


def test_changes_count_though_they_are_too_large_for_one_reply(
    store, client, monkeypatch
):
    store.put('a', b'1')
    known = client.watch(NO_REVISION).revision
    limited = partial(read_body, limit=MAX_READ_BYTES)
    monkeypatch.setattr('basilwall.platform.store.read_body', limited)
    large = bytes(MAX_READ_BYTES // 4)
    for _ in range(4):
        store.put('a', large)
    with pytest.raises(UnusableReplyError):
        client.watch(known)
    assert bodies(client.watch(known)) == {'a': large}


@pytest.mark.xfail(strict=True, reason='entry 18 of KNOWN-RED.txt')
def test_a_reply_that_cannot_be_used_is_no_contact(
    store, client, progress, monkeypatch
):
    store.put('a', b'1')
    page = {'items': [], 'at': 'x'}
    monkeypatch.setattr(store, 'read_page', lambda *_: page)
    with pytest.raises(UnusableReplyError):
        client.watch(NO_REVISION)
    assert progress.contact_at() == -math.inf
