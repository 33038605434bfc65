"""The client of the metadata store: epochs, lost history, listings."""

import math
import random

import pytest

from basilwall.configuration.client import PlatformError
from basilwall.configuration.transfer_progress import TransferProgress
from basilwall.parts.clock import SystemClock
from basilwall.platform.store import (
    MAX_EPOCH,
    REVISIONS_PER_EPOCH,
    HttpStoreClient,
)
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


def bodies(reply):
    return {published.key: published.body for published in reply.values}


def test_a_watch_gives_the_changes_after_a_revision(store, client):
    store.put('a', b'1')
    listed = client.watch(0)
    assert (listed.is_whole, bodies(listed)) == (True, {'a': b'1'})
    store.put('b', b'2')
    store.remove('a')
    changes = client.watch(listed.revision)
    assert not changes.is_whole
    assert bodies(changes) == {'b': b'2', 'a': b''}
    assert changes.revision == listed.revision + 2


def test_a_call_that_the_store_refuses_is_no_contact(store, client, progress):
    store.is_down = True
    with pytest.raises(PlatformError):
        client.watch(0)
    assert progress.contact_at() == -math.inf
    store.is_down = False
    client.watch(0)
    assert progress.contact_at() > 0


@pytest.mark.parametrize('odd', ['\ud800', 'a\udc80', '\x00', '"', ''])
def test_a_key_that_is_no_text_does_not_hide_the_other_keys(store, client, odd):
    for number in range(ITEMS_PER_PAGE - 1):
        store.put(f'{number}', b'x')
    store.put(odd, b'2')
    store.put('a', b'1')
    listed = client.watch(0)
    assert bodies(listed)['a'] == b'1'
    store.put(f'{odd}/x', b'3')
    store.put('b', b'4')
    changes = client.watch(listed.revision)
    assert bodies(changes)['b'] == b'4'


def test_a_listing_of_many_pages_is_whole(store, client):
    for number in range(3 * ITEMS_PER_PAGE):
        store.put(f'k{number}', b'x')
    assert len(client.watch(0).values) == 3 * ITEMS_PER_PAGE


def test_revisions_rise_though_the_store_gives_them_out_again(store, client):
    store.put('a', b'1')
    copy = store.copy()
    for number in range(5):
        store.put('b', b'%d' % number)
    before = client.watch(0)
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
    before = client.watch(0)
    store.restore(copy)
    store.put('b', b'3')
    store.put('b', b'4')
    reply = client.watch(before.revision)
    assert reply.is_restored
    assert bodies(reply) == {'a': b'1', 'b': b'4'}


def test_a_lost_history_is_no_restored_store(store, client):
    store.put('a', b'1')
    before = client.watch(0)
    store.put('a', b'2')
    store.compact()
    reply = client.watch(before.revision)
    assert (reply.is_whole, reply.is_restored) == (True, False)


def test_a_response_of_an_older_epoch_is_not_used(store, client):
    store.put('a', b'1')
    with pytest.raises(PlatformError):
        client.watch(REVISIONS_PER_EPOCH * (store.era + 1) + 1)


@pytest.mark.parametrize('era', ['', 'x', '-1', str(MAX_EPOCH + 1)])
def test_an_invalid_epoch_counts_as_none(store, client, era):
    store.put('a', b'1')
    known = client.watch(0).revision
    store.era = era
    store.put('a', b'2')
    assert bodies(client.watch(known)) == {'a': b'2'}
    assert bodies(client.watch(0)) == {'a': b'2'}
