"""Read-only HTTP client of the platform's metadata store.

The first read lists all keys page by page; after that, one long-polling call
watches all keys. Whether the store answers is found out by a read that costs
little and may be stale; see `basilwall.configuration.long_poll`.

The store may come back from an older copy and give out revisions again. It then
raises a number, its epoch, which is part of all its responses. Inside this
program a revision is that number and the store's revision in one integer, so
that it never goes back.
"""

import base64
import binascii
import http.client
import json
import logging
import random
import re
from functools import partial
from typing import TypeVar
from urllib.parse import quote

import msgspec

from basilwall.configuration.client import (
    PlatformError,
    PlatformReader,
    WatchReply,
)
from basilwall.configuration.http_call import HTTP_OK, CallResponse
from basilwall.configuration.limited_read import read_body
from basilwall.configuration.long_poll import LongPollClient, Poll
from basilwall.configuration.transfer_progress import TransferProgress
from basilwall.parts.clock import Clock
from basilwall.records.catalogue import PublishedValue

MS_PER_SECOND = 1000
#: A listing with more pages is taken for an endless one and given up.
MAX_PAGES = 1000
HTTP_GONE = 410
#: Lists the keys with a prefix that none has. It costs a tenth of other reads.
CHECK_PATH = '/v1/kv-range?prefix=none/&stale_ok=1'
#: Revisions of one epoch; further ones are refused as invalid.
REVISIONS_PER_EPOCH = 100_000_000_000
#: Greater epochs are ignored as invalid.
MAX_EPOCH = 65_535
MAX_LOGGED_CHARACTERS = 80
#: Header with the epoch. The pages' word for it is "era".
EPOCH_HEADER = 'Store-Era'

#: Sorts after all ASCII characters, so no id of a searcher is skipped if a page
#: is to begin after a key that ends so.
REPLACEMENT_CHARACTER = '\ufffd'
_USABLE_STATUSES = frozenset((HTTP_OK, HTTP_GONE))
_LONE_SURROGATES = re.compile('[\ud800-\udfff]')

_log = logging.getLogger(__name__)


class _StoredItem(msgspec.Struct):
    key: str
    revision: int
    # In base64.
    value: str = ''
    removed: bool = False


class _Range(msgspec.Struct):
    items: tuple[_StoredItem, ...]
    # Revision of the store when this page was made.
    at: int
    has_more: bool = False


class _Changes(msgspec.Struct):
    events: tuple[_StoredItem, ...]
    # Revision after which the next watch continues.
    at: int


DecodedT = TypeVar('DecodedT')

_range_decoder = msgspec.json.Decoder(_Range)
_changes_decoder = msgspec.json.Decoder(_Changes)


class HttpStoreClient(PlatformReader):
    """Client of the metadata store at one address."""

    def __init__(
        self,
        address: str,
        watch_seconds: float,
        progress: TransferProgress,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        """Create a client.

        Args:
            address: The address of the store.
            watch_seconds: For how long the store holds a watch.
            progress: Learns of the replies that are being received.
            clock: Times the calls.
            rng: Draws the time between calls.
        """
        self._progress = progress
        self._watch_seconds = watch_seconds
        self._calls = LongPollClient(address, clock, rng, self._read_body)

    @property
    def call_count(self) -> int:
        """All calls made."""
        return self._calls.call_count

    def watch(self, after: int) -> WatchReply:
        """Wait until there are changes above a revision or the watch ends.

        Args:
            after: The revision up to which all values are known here; 0 if
                none are.

        Returns:
            The changes, or a complete listing if `after` is 0, the store no
            longer has the changes since then, or it came back from a copy.

        Raises:
            PlatformError: If the store can't be reached or its reply is
                invalid.
        """
        reply = self._read_changes(after) if after else self._list_all(after)
        was_silent = self._calls.take_was_silent()
        return msgspec.structs.replace(reply, was_silent=was_silent)

    def _read_changes(self, after: int) -> WatchReply:
        epoch, number = divmod(after, REVISIONS_PER_EPOCH)
        path = f'/v1/kv-watch?prefix=&after={number}&wait_ms='
        wait_ms = int(self._watch_seconds * MS_PER_SECOND)
        response = self._get(
            Poll(
                f'{path}{wait_ms}',
                f'{path}0',
                CHECK_PATH,
                self._watch_seconds,
                partial(_is_ahead, number),
            )
        )
        is_restored = _epoch_of(response, epoch) != epoch
        if is_restored or response.status == HTTP_GONE:
            return self._list_all(after)
        changes = _decode(_changes_decoder, response)
        return WatchReply(
            _revision(epoch, changes.at),
            tuple(_value(item, epoch) for item in changes.events),
        )

    def _list_all(self, after: int) -> WatchReply:
        """List all keys.

        The reply has the revision of the first page, so the next watch returns
        all changes made during the listing.
        """
        former_epoch = after // REVISIONS_PER_EPOCH
        listed: list[PublishedValue] = []
        first_revision, page_query = 0, ''
        for _ in range(MAX_PAGES):
            path = f'/v1/kv-range?prefix={page_query}'
            response = self._get(Poll(path, path, CHECK_PATH, 0, _has_no_news))
            epoch = _epoch_of(response, former_epoch)
            page = _decode(_range_decoder, response)
            first_revision = first_revision or _revision(epoch, page.at)
            if first_revision // REVISIONS_PER_EPOCH != epoch:
                raise PlatformError('store restored during a listing')
            listed += (_value(item, epoch) for item in page.items)
            if not page.has_more:
                return WatchReply(
                    first_revision,
                    tuple(listed),
                    is_whole=True,
                    is_restored=_is_restored(after, epoch),
                )
            page_query = f'&after={quote(page.items[-1].key)}'
        raise PlatformError(f'listing has more than {MAX_PAGES} pages')

    def _get(self, poll: Poll) -> CallResponse:
        response = self._calls.get(poll)
        if response.status not in _USABLE_STATUSES:
            self._calls.drop_connections()
        return response

    def _read_body(self, response: http.client.HTTPResponse) -> bytes:
        if response.status != HTTP_OK:
            return read_body(response)
        with self._progress.receiving():
            return read_body(response, on_piece=self._progress.note_piece)


def _read_epoch(response: CallResponse) -> int | None:
    text = response.headers.get(EPOCH_HEADER)
    if text is None:
        return None
    is_valid = text.isascii() and text.isdigit() and int(text) <= MAX_EPOCH
    if not is_valid:
        _log.warning(
            'invalid epoch of the store',
            extra={'epoch': text[:MAX_LOGGED_CHARACTERS]},
        )
        return None
    return int(text)


def _epoch_of(response: CallResponse, known_epoch: int) -> int:
    """Return the epoch of a response, the known one if it names none.

    Raises:
        PlatformError: If it is older than the known one.
    """
    epoch = _read_epoch(response)
    if epoch is None:
        return known_epoch
    if epoch < known_epoch:
        raise PlatformError(
            f'response of epoch {epoch}, {known_epoch} is known'
        )
    return epoch


def _is_ahead(number: int, check: CallResponse) -> bool:
    """Return whether a check shows changes after a revision of the store."""
    return _decode(_range_decoder, check).at > number


def _has_no_news(_: CallResponse) -> bool:
    return False


def _is_restored(after: int, epoch: int) -> bool:
    former_epoch = after // REVISIONS_PER_EPOCH
    is_restored = bool(after) and epoch != former_epoch
    if is_restored:
        _log.warning(
            'store came back from an older copy',
            extra={'former_epoch': former_epoch, 'epoch': epoch},
        )
    return is_restored


def _revision(epoch: int, number: int) -> int:
    if not 0 <= number < REVISIONS_PER_EPOCH:
        raise PlatformError(f'invalid revision {number}')
    return epoch * REVISIONS_PER_EPOCH + number


def _decode(
    decoder: msgspec.json.Decoder[DecodedT],
    response: CallResponse,
) -> DecodedT:
    if response.status != HTTP_OK:
        raise PlatformError(
            f'metadata store answered with status {response.status}'
        )
    try:
        return decoder.decode(response.body)
    except msgspec.MsgspecError as error:
        _log.warning('odd response of the store', extra={'error': str(error)})
    try:
        return decoder.decode(_with_valid_text(response.body))
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise PlatformError(str(error)) from error


def _with_valid_text(body: bytes) -> bytes:
    """Return a JSON text in which what is no valid text is replaced.

    Another writer's key may hold bytes or surrogates that are none. It must not
    hide the other items, and such a key names no searcher.
    """
    decoded = json.loads(body.decode('utf-8', 'replace'))
    text = json.dumps(decoded, ensure_ascii=False)
    return _LONE_SURROGATES.sub(REPLACEMENT_CHARACTER, text).encode()


def _value(item: _StoredItem, epoch: int) -> PublishedValue:
    """Convert a stored item to a published value.

    An empty body means that the key was removed. An item that is empty or
    isn't valid base64 gets a body that no decoder accepts instead.
    """
    revision = _revision(epoch, item.revision)
    if item.removed:
        return PublishedValue(item.key, revision, b'')
    try:
        body = base64.b64decode(item.value, validate=True)
    except (binascii.Error, ValueError):
        body = b'\xff'
    return PublishedValue(item.key, revision, body or b'\xff')
