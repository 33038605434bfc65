"""Read-only HTTP client of the platform's metadata store.

The first read lists all keys page by page; after that, one long-polling call
watches all keys. The connection is kept open with TCP keep-alive probes,
because a long-polling call can't tell a store without changes from a dead
connection.

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
import re
import socket
from dataclasses import dataclass
from typing import Any, TypeVar
from urllib.parse import quote

import msgspec

from basilwall.configuration.client import (
    PlatformError,
    PlatformReader,
    WatchReply,
)
from basilwall.configuration.limited_read import read_body
from basilwall.configuration.transfer_progress import TransferProgress
from basilwall.records.catalogue import PublishedValue

#: Added to the duration of a watch to get the timeout of its call.
RESPONSE_GRACE_SECONDS = 1.0
READ_TIMEOUT_SECONDS = 2.0
MS_PER_SECOND = 1000
#: A listing with more pages is taken for an endless one and given up.
MAX_PAGES = 1000
#: TCP keep-alive: idle time before the first probe, time between probes, and
#: the number of unanswered probes after which the connection is dead.
KEEPALIVE_IDLE_SECONDS = 1
KEEPALIVE_INTERVAL_SECONDS = 1
KEEPALIVE_PROBES = 2
HTTP_OK = 200
HTTP_GONE = 410
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


@dataclass(frozen=True, slots=True)
class _Response:
    """A response of the store; `epoch` is None if it names none."""

    status: int
    body: bytes
    epoch: int | None


DecodedT = TypeVar('DecodedT')

_range_decoder = msgspec.json.Decoder(_Range)
_changes_decoder = msgspec.json.Decoder(_Changes)


class HttpStoreClient(PlatformReader):
    """Client of the metadata store at one address."""

    def __init__(
        self, address: str, watch_seconds: float, progress: TransferProgress
    ) -> None:
        """Create a client.

        Args:
            address: The address of the store.
            watch_seconds: For how long the store holds a watch.
            progress: Learns of the replies that are being received.
        """
        self.call_count = 0
        self._progress = progress
        self._address = address
        self._watch_seconds = watch_seconds
        self._connection: http.client.HTTPConnection | None = None

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
        if not after:
            return self._list_all(after)
        epoch, number = divmod(after, REVISIONS_PER_EPOCH)
        # The first call on a connection doesn't wait: it tells at once whether
        # the store is back and whether it is still of the same epoch.
        is_connected = self._connection is not None
        wait_ms = (
            int(self._watch_seconds * MS_PER_SECOND) if is_connected else 0
        )
        path = f'/v1/kv-watch?prefix=&after={number}&wait_ms={wait_ms}'
        response = self._get(path, self._watch_seconds + RESPONSE_GRACE_SECONDS)
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
            response = self._get(
                f'/v1/kv-range?prefix={page_query}', READ_TIMEOUT_SECONDS
            )
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

    def _get(self, path: str, timeout: float) -> _Response:
        self.call_count += 1
        connection = self._connection
        if connection is None:
            connection = http.client.HTTPConnection(self._address)
        self._connection = None
        try:
            connection.timeout = timeout
            _ensure_connected(connection, timeout)
            connection.request('GET', path)
            response = connection.getresponse()
            body = self._read_body(response)
        except (OSError, http.client.HTTPException) as error:
            connection.close()
            raise PlatformError(repr(error)) from error
        if response.will_close:
            connection.close()
        self._connection = connection
        return _Response(response.status, body, _read_epoch(response))

    def _read_body(self, response: http.client.HTTPResponse) -> bytes:
        if response.status != HTTP_OK:
            return read_body(response)
        with self._progress.receiving():
            return read_body(response, on_piece=self._progress.note_piece)


def _ensure_connected(
    connection: http.client.HTTPConnection,
    timeout: float,
) -> None:
    if connection.sock is None:
        connection.connect()
        level = socket.IPPROTO_TCP
        connected: Any = connection.sock
        connected.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        connected.setsockopt(level, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS)
        connected.setsockopt(
            level, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS
        )
        connected.setsockopt(level, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    open_socket: Any = connection.sock
    open_socket.settimeout(timeout)


def _read_epoch(response: http.client.HTTPResponse) -> int | None:
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


def _epoch_of(response: _Response, known_epoch: int) -> int:
    """Return the epoch of a response, the known one if it names none.

    Raises:
        PlatformError: If it is older than the known one.
    """
    if response.epoch is None:
        return known_epoch
    if response.epoch < known_epoch:
        raise PlatformError(
            f'response of epoch {response.epoch}, {known_epoch} is known'
        )
    return response.epoch


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
    response: _Response,
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
