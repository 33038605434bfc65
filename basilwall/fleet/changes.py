"""Messages by which VMs relay changes of the store: encoding and decoding.

A region's VMs get changes from a few others, whose links are narrow: a link
that relays is busy for the size of a reply times the VMs that ask for it. So
a reply holds only what the asking VM lacks, large values compressed or as
deltas of the version that it has.
"""

from collections.abc import Mapping
from enum import IntEnum

import msgspec

from basilwall.configuration.client import PlatformError
from basilwall.fleet.revision_messages import WireRevision, decode_revision
from basilwall.fleet.value_deltas import apply_delta, decompress
from basilwall.parts.revisions import MAX_BODY_BYTES
from basilwall.records.catalogue import PublishedValue
from basilwall.records.revision import Revision

#: HTTP path at which VMs request changes.
CHANGES_PATH = '/changes'


class ChangesRequest(msgspec.Struct, array_like=True):
    """Requests the changes after a revision.

    Without any change, the reply comes after `hold_seconds`. Any VM replies
    to one that is catching up, only readers of the store to others.
    `known_revisions` says which version of large values the asking VM has, by
    key; None if it takes neither deltas nor lists of keys, as older builds.
    """

    after: WireRevision
    hold_seconds: float = 0
    is_catching_up: bool = False
    known_revisions: dict[str, WireRevision] | None = None


class ValueForm(IntEnum):
    """How the body of a relayed value is written."""

    PLAIN = 0
    COMPRESSED = 1
    DELTA = 2


class RelayedValue(msgspec.Struct, array_like=True):
    """A published value; a delta is of the version `base_revision`."""

    key: str
    revision: WireRevision
    body: bytes
    # Older builds send a boolean: whether the body is compressed.
    form: int | bool
    base_revision: WireRevision = 0


class Changes(msgspec.Struct, array_like=True):
    """The changes after a revision.

    If `is_whole`, keys may have been removed that are not among the changes:
    `live_keys` are all that exist; if there are none, the keys of the values
    are. All times are in seconds: `age` since the store was read,
    `removals_held_seconds` for which removals are still held back, and
    `held_seconds` for which the request was held open.
    """

    revision: WireRevision
    is_whole: bool
    age: float
    removals_held_seconds: float
    held_seconds: float
    values: tuple[RelayedValue, ...]
    live_keys: tuple[str, ...] = ()


_request_decoder = msgspec.msgpack.Decoder(ChangesRequest)
_changes_decoder = msgspec.msgpack.Decoder(Changes)


def decode_value(
    relayed: RelayedValue,
    known_by_key: Mapping[str, PublishedValue],
    max_bytes: int = MAX_BODY_BYTES,
) -> PublishedValue:
    """Return the published value that was relayed.

    Args:
        relayed: The value as it was relayed.
        known_by_key: The large values that the request named.
        max_bytes: The largest size of a value.

    Raises:
        PlatformError: If its body can't be decoded or is too large, or its
            revision is none.
    """
    body, revision = relayed.body, decode_relayed(relayed.revision)
    if relayed.form == ValueForm.COMPRESSED:
        body = decompress(body, max_bytes)
    elif relayed.form == ValueForm.DELTA:
        known = known_by_key.get(relayed.key)
        if known is None or known.revision != decode_relayed(
            relayed.base_revision
        ):
            raise PlatformError(f'{relayed.key}: delta of another version')
        body = apply_delta(known.body, body, max_bytes)
    return PublishedValue(relayed.key, revision, body)


def decode_relayed(wire: WireRevision) -> Revision:
    """Return a revision in a request or a reply.

    Raises:
        PlatformError: If it is none.
    """
    try:
        return decode_revision(wire)
    except ValueError as error:
        raise PlatformError(str(error)) from error


def encode_request(request: ChangesRequest) -> bytes:
    """Return the body of a request for changes."""
    return msgspec.msgpack.encode(request)


def decode_request(body: bytes) -> ChangesRequest:
    """Decode a request for changes.

    Raises:
        PlatformError: If it is malformed.
    """
    try:
        return _request_decoder.decode(body)
    except (msgspec.MsgspecError, ValueError) as error:
        raise PlatformError(str(error)) from error


def encode_changes(changes: Changes) -> bytes:
    """Return the body of a reply with changes."""
    return msgspec.msgpack.encode(changes)


def decode_changes(body: bytes) -> Changes:
    """Decode a reply with changes.

    Raises:
        PlatformError: If it is malformed.
    """
    try:
        return _changes_decoder.decode(body)
    except (msgspec.MsgspecError, ValueError) as error:
        raise PlatformError(str(error)) from error
