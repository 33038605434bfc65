"""Revisions as VMs send them: of any height, and as former builds read them."""

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from basilwall.fleet.gossip_messages import GossipMessages
from basilwall.fleet.gossip_messages_test import make
from basilwall.fleet.revision_messages import (
    MAX_PACKED_EPOCH,
    PACKED_NUMBERS_PER_EPOCH,
    decode_revision,
    encode_revision,
)
from basilwall.records.revision import NO_REVISION, Revision

HIGH_REVISIONS = (
    Revision(1, PACKED_NUMBERS_PER_EPOCH),
    Revision(MAX_PACKED_EPOCH + 1, 5),
    Revision(0, 2**64),
    Revision(10**40, 10**40),
)
PARTS = st.integers(0, 10**12) | st.integers(0, 10**60)


class FormerMessage(msgspec.Struct, array_like=True):
    """A gossip message as former builds read it."""

    sender: tuple[str, str, str, bool, str, bool, float]
    members: tuple[object, ...]
    contents: tuple[object, ...]
    revision: int
    limits: tuple[object, ...]
    leaving: tuple[object, ...]
    memory_seconds: float


def message_with(revision):
    sender = make(1)
    sender.own_revision = lambda: revision
    return sender.encode()


def heard_of(message):
    heard = []
    receiver: GossipMessages = make(2)
    receiver.record_peer_revision = lambda _, revision: heard.append(revision)
    receiver.apply(message)
    return heard


@given(epoch=PARTS, number=PARTS)
def test_a_revision_is_received_as_it_was_sent(epoch, number):
    revision = Revision(epoch, number)
    wire = msgspec.msgpack.encode(encode_revision(revision))
    assert decode_revision(msgspec.msgpack.decode(wire)) == revision


@pytest.mark.parametrize(
    ('revision', 'packed'),
    [
        (NO_REVISION, 0),
        (Revision(0, 7), 7),
        (Revision(1, 7), 100_000_000_007),
        (Revision(65_535, 99_999_999_999), 6_553_599_999_999_999),
    ],
)
def test_a_former_build_is_sent_the_integer_that_it_reads(revision, packed):
    assert encode_revision(revision) == packed
    read = msgspec.msgpack.decode(message_with(revision), type=FormerMessage)
    assert read.revision == packed


@pytest.mark.parametrize('revision', HIGH_REVISIONS)
def test_gossip_with_a_revision_too_high_for_former_builds_reaches_all(
    revision,
):
    message = message_with(revision)
    assert heard_of(message) == [revision]
    read = msgspec.msgpack.decode(message, type=FormerMessage)
    assert read.revision == 0


@pytest.mark.parametrize('wire', [-1, '', 'x', '-2', '1:', '9' * 5000, ' 1'])
def test_a_malformed_revision_is_refused(wire):
    with pytest.raises(ValueError):
        decode_revision(wire)
