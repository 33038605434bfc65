"""Deltas between versions of a large value.

A new version of the route table differs from the former one in a few routes, so
a VM that has the former one is sent only these. Values are JSON texts: both
versions are cut after each object, and the pieces that they share are named by
their position in the former one.
"""

import zlib

import msgspec

from basilwall.configuration.client import PlatformError
from basilwall.parts.revisions import MAX_BODY_BYTES

#: Where values are cut; any other text would do as well.
SEPARATOR = b'},'
#: The fastest level; route tables shrink to a sixth or less with it.
COMPRESSION_LEVEL = 1
#: A delta that shares nothing is larger than its value: each piece is framed,
#: and the shortest one takes two bytes of the value.
MAX_DELTA_RATIO = 8


class _Copy(msgspec.Struct, array_like=True):
    """Pieces of the former version, in order."""

    start: int
    count: int


class _Delta(msgspec.Struct, array_like=True):
    """Each run is followed by the new piece with the same index, if any."""

    runs: tuple[_Copy, ...]
    new_pieces: tuple[bytes, ...]
    # Of the version that the delta leads to.
    checksum: int


_decoder = msgspec.msgpack.Decoder(_Delta)


def compress(body: bytes) -> bytes:
    """Return a compressed value."""
    return zlib.compress(body, COMPRESSION_LEVEL)


def decompress(compressed: bytes, max_bytes: int = MAX_BODY_BYTES) -> bytes:
    """Return a decompressed value.

    Args:
        compressed: The compressed value.
        max_bytes: The largest size of a value.

    Raises:
        PlatformError: If it can't be decompressed or is too large.
    """
    decompressor = zlib.decompressobj()
    try:
        body = decompressor.decompress(compressed, max_bytes)
    except zlib.error as error:
        raise PlatformError(str(error)) from error
    if not decompressor.eof:
        raise PlatformError('value cut off or too large')
    return body


def encode_delta(former: bytes, current: bytes) -> bytes:
    """Return what turns one version of a value into another, compressed."""
    former_pieces = former.split(SEPARATOR)
    index_by_piece = {piece: index for index, piece in enumerate(former_pieces)}
    runs: list[_Copy] = []
    new_pieces: list[bytes] = []
    run = _Copy(0, 0)
    for piece in current.split(SEPARATOR):
        following = run.start + run.count
        if run.count and former_pieces[following : following + 1] == [piece]:
            run.count += 1
        elif not run.count and piece in index_by_piece:
            run = _Copy(index_by_piece[piece], 1)
        else:
            runs.append(run)
            new_pieces.append(piece)
            run = _Copy(0, 0)
    runs.append(run)
    delta = _Delta(tuple(runs), tuple(new_pieces), zlib.crc32(current))
    return compress(msgspec.msgpack.encode(delta))


def apply_delta(
    former: bytes, delta: bytes, max_bytes: int = MAX_BODY_BYTES
) -> bytes:
    """Return the version of a value that a delta leads to.

    Args:
        former: The version that it was made for.
        delta: The delta.
        max_bytes: The largest size of a value.

    Raises:
        PlatformError: If the delta is malformed or was made for another one.
    """
    decoded = _decode(delta, max_bytes)
    pieces = _pieces(former.split(SEPARATOR), decoded, max_bytes)
    body = SEPARATOR.join(pieces)
    if len(body) > max_bytes or zlib.crc32(body) != decoded.checksum:
        raise PlatformError('delta of another version')
    return body


def _pieces(
    former_pieces: list[bytes], delta: _Delta, max_count: int
) -> list[bytes]:
    pieces: list[bytes] = []
    for index, run in enumerate(delta.runs):
        end = run.start + run.count
        if min(run.start, run.count) < 0 or end > len(former_pieces):
            raise PlatformError('delta of another version')
        pieces += former_pieces[run.start : end]
        pieces += delta.new_pieces[index : index + 1]
        if len(pieces) > max_count:
            raise PlatformError('delta too large')
    return pieces


def _decode(delta: bytes, max_value_bytes: int) -> _Delta:
    max_bytes = max_value_bytes * MAX_DELTA_RATIO
    try:
        return _decoder.decode(decompress(delta, max_bytes))
    except (msgspec.MsgspecError, ValueError) as error:
        raise PlatformError(str(error)) from error
