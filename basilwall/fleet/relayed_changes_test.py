"""What a reply with changes holds, also for VMs of an older build."""

import zlib

import msgspec
import pytest

from basilwall.configuration.client import WatchReply
from basilwall.fleet.relayed_reader_test import (
    HOLD_SECONDS,
    make_fleet,
    readers_and_followers,
)
from basilwall.fleet.revision_messages_test import HIGH_REVISIONS
from basilwall.records.revision import NO_REVISION


class OlderValue(msgspec.Struct, array_like=True):
    """A relayed value as an older build reads it."""

    key: str
    revision: int
    body: bytes
    is_compressed: bool


class OlderChanges(msgspec.Struct, array_like=True):
    """A reply as an older build reads it."""

    revision: int
    is_whole: bool
    age: float
    removals_held_seconds: float
    held_seconds: float
    values: tuple[OlderValue, ...]


def test_a_vm_of_an_older_build_is_sent_whole_values(monkeypatch):
    monkeypatch.setattr(HOLD_SECONDS, 0)
    contents, _, fleet = make_fleet()
    readers, _ = readers_and_followers(fleet)
    large = b'x' * 5000
    contents.write('k0', large)
    contents.write('k1', b'a')
    assert readers[0].watch.read()
    _, reply = readers[0].server.answer(msgspec.msgpack.encode([0, 0, True]))
    read = msgspec.msgpack.decode(reply, type=OlderChanges)
    assert read.is_whole
    by_key = {relayed.key: relayed for relayed in read.values}
    assert not by_key['k1'].is_compressed
    assert by_key['k0'].is_compressed
    assert zlib.decompress(by_key['k0'].body) == large


def test_a_vm_that_is_sent_the_keys_alone_drops_those_that_are_gone(
    monkeypatch,
):
    monkeypatch.setattr(HOLD_SECONDS, 0)
    contents, _, fleet = make_fleet()
    readers, followers = readers_and_followers(fleet)
    for number in range(3):
        contents.write(f'k{number}', b'a')
    for vm in (*readers, *followers):
        assert vm.watch.read()
    contents.write('k0', b'')
    contents.write('k3', b'b')
    contents.compacted_revision = contents.revision
    for vm in (*readers, *followers):
        assert vm.watch.read()
        assert vm.live() == {'k1': b'a', 'k2': b'a', 'k3': b'b'}


def test_a_read_that_ends_after_catching_up_asks_for_no_value_again(
    monkeypatch,
):
    monkeypatch.setattr(HOLD_SECONDS, 0)
    contents, _, fleet = make_fleet()
    vm, told = list(fleet.values())[:2]
    assert vm.watch.read()
    contents.write('k0', b'a')
    reply = vm.reader.watch(NO_REVISION)
    contents.write('k1', b'b')
    assert told.watch.read()

    def catch_up_meanwhile(_):
        vm.watch.apply_relayed(
            WatchReply(contents.revision, tuple(contents.values()))
        )
        return reply

    monkeypatch.setattr(vm.reader, 'watch', catch_up_meanwhile)
    assert vm.watch.read()
    assert vm.catch_up.own_revision() == contents.revision


@pytest.mark.parametrize('start', HIGH_REVISIONS)
def test_changes_of_any_revision_are_relayed(monkeypatch, start):
    monkeypatch.setattr(HOLD_SECONDS, 0)
    contents, _, fleet = make_fleet()
    contents.revision = start
    readers, followers = readers_and_followers(fleet)
    contents.write('k0', b'a' * 5000)
    for vm in (*readers, *followers):
        assert vm.watch.read()
    contents.write('k0', b'a' * 4999 + b'b')
    contents.write('k1', b'c')
    for vm in (*readers, *followers):
        assert vm.watch.read()
        assert vm.live() == {'k0': b'a' * 4999 + b'b', 'k1': b'c'}
        assert vm.catch_up.own_revision() == contents.revision
    assert not any(vm.store.calls for vm in followers)


def test_a_request_with_a_malformed_revision_is_refused():
    _, _, fleet = make_fleet()
    readers, _ = readers_and_followers(fleet)
    status, _ = readers[0].server.answer(msgspec.msgpack.encode(['x']))
    assert status == 400
