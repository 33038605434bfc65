"""Decodes the entries of searchers in the platform's metadata store.

An entry that can't be decoded is treated as no searcher. The pages set no
length for its texts: what bounds them is the size of the value and of the key.
"""

import re
from enum import Enum
from typing import Annotated

import msgspec

from basilwall.platform.decoding import (
    DECODE_ERRORS,
    MS_PER_SECOND,
    UnreadableValueError,
)
from basilwall.records.endpoint import InvalidAddressError, parse_address
from basilwall.records.ids import (
    SearcherAddress,
    SearcherId,
    ServiceName,
    Zone,
)
from basilwall.records.searcher import Searcher

TABLE_KEY = 'op/config'
SEARCHER_PREFIX = 'servers/'
#: Ids are written into headers unescaped, so only visible ASCII is valid. A key
#: has at most 200 bytes.
_SEARCHER_ID = re.compile('[!-~]{1,192}')

#: Higher numbers of slots mean the same as this one.
MAX_SLOTS = 65_536
#: A Unix millisecond that lies later is no time of a start.
MAX_UNIX_MS = 9_007_199_254_740_992
#: No searcher is slow for longer after its start.
MAX_WARMUP_SECONDS = 3600.0
_Text = Annotated[str, msgspec.Meta(min_length=1)]
_Positive = Annotated[int, msgspec.Meta(ge=1)]
_UnixMs = Annotated[int, msgspec.Meta(ge=0, le=MAX_UNIX_MS)]


class _State(Enum):
    READY = 'ready'
    DRAINING = 'draining'


class _SearcherEntry(msgspec.Struct):
    service: _Text
    address: _Text
    zone: _Text
    # Requests that the searcher runs at once, from all VMs together.
    capacity: _Positive
    state: _State
    # How much longer the searcher is slow after its start.
    cold_left_ms: float
    # Start time of the process (not of the entry), in Unix milliseconds.
    born: _UnixMs = 0
    # Version of the searcher's software, not of its index.
    version: str = ''
    # Number of the searcher's reports; not a measure of its load.
    call_seq: int = 0


_entry_decoder = msgspec.json.Decoder(_SearcherEntry)


def decode_searcher(key: str, value: bytes) -> Searcher:
    """Decode the entry of one searcher.

    Args:
        key: The key of the entry.
        value: The bytes of the entry.

    Returns:
        The searcher.

    Raises:
        UnreadableValueError: If it is not a valid entry of a searcher.
    """
    try:
        entry = _entry_decoder.decode(value)
    except DECODE_ERRORS as error:
        raise UnreadableValueError(str(error)) from error
    searcher_id = key.removeprefix(SEARCHER_PREFIX)
    if not _SEARCHER_ID.fullmatch(searcher_id):
        raise UnreadableValueError('invalid searcher id')
    try:
        endpoint = parse_address(entry.address)
    except InvalidAddressError as error:
        raise UnreadableValueError(f'invalid address: {error}') from error
    if endpoint.is_ipv6:
        raise UnreadableValueError('invalid address: IPv6')
    warmup_seconds = entry.cold_left_ms / MS_PER_SECOND
    return Searcher(
        SearcherId(searcher_id),
        ServiceName(entry.service),
        SearcherAddress(entry.address),
        Zone(entry.zone),
        min(entry.capacity, MAX_SLOTS),
        entry.state is _State.DRAINING,
        min(max(warmup_seconds, 0), MAX_WARMUP_SECONDS),
        entry.born,
    )
