"""Messages by which VMs relay changes of the store: encoding and decoding.

Large values are sent compressed. A zone's VMs get them from a few others, whose
links are narrow: a link that relays is busy for the size of a value times the
VMs that ask for it.
"""

import threading
import zlib

import msgspec

from basilwall.configuration.client import PlatformError
from basilwall.parts.revisions import MAX_BODY_BYTES
from basilwall.records.catalogue import PublishedValue

#: Bodies from this size on are compressed.
MIN_COMPRESSED_BYTES = 2048
#: The fastest level; route tables shrink to a sixth or less with it.
COMPRESSION_LEVEL = 1
#: HTTP path at which VMs request changes.
CHANGES_PATH = '/changes'


class ChangesRequest(msgspec.Struct, array_like=True):
    """Requests the changes after a revision.

    Without any, the reply comes after `hold_seconds`. Any VM replies to one
    that is catching up, only readers of the store to others.
    """

    after: int
    hold_seconds: float = 0
    is_catching_up: bool = False


class RelayedValue(msgspec.Struct, array_like=True):
    """A published value; its body may be compressed."""

    key: str
    revision: int
    body: bytes
    is_compressed: bool


class Changes(msgspec.Struct, array_like=True):
    """The changes after a revision, or all values if `is_whole`.

    All times are in seconds: `age` since the store was read,
    `removals_held_seconds` for which removals are still held back, and
    `held_seconds` for which the request was held open.
    """

    revision: int
    is_whole: bool
    age: float
    removals_held_seconds: float
    held_seconds: float
    values: tuple[RelayedValue, ...]


_request_decoder = msgspec.msgpack.Decoder(ChangesRequest)
_changes_decoder = msgspec.msgpack.Decoder(Changes)


class ValueCompressor:
    """Compresses values; the last one is kept, as many VMs ask for it."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._last_body = b''
        self._last_compressed = b''

    def encode(self, published: PublishedValue) -> RelayedValue:
        """Return a value as it is relayed."""
        body = published.body
        is_large = len(body) >= MIN_COMPRESSED_BYTES
        return RelayedValue(
            published.key,
            published.revision,
            self._compress(body) if is_large else body,
            is_large,
        )

    def _compress(self, body: bytes) -> bytes:
        with self._lock:
            if body is not self._last_body:
                self._last_compressed = zlib.compress(body, COMPRESSION_LEVEL)
                self._last_body = body
            return self._last_compressed


def decode_value(relayed: RelayedValue) -> PublishedValue:
    """Return the published value that was relayed.

    Raises:
        PlatformError: If its body can't be decompressed or is too large.
    """
    body = relayed.body
    if relayed.is_compressed:
        decompressor = zlib.decompressobj()
        try:
            body = decompressor.decompress(body, MAX_BODY_BYTES)
        except zlib.error as error:
            raise PlatformError(f'{relayed.key}: {error}') from error
        if not decompressor.eof:
            raise PlatformError(f'{relayed.key}: cut off or too large')
    return PublishedValue(relayed.key, relayed.revision, body)


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
