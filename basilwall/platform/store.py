"""Read-only HTTP client of the platform's metadata store.

The first read lists all keys page by page; after that, one long-polling call
watches all keys. The connection is kept open with TCP keep-alive probes,
because a long-polling call can't tell a store without changes from a dead
connection.
"""

import base64
import binascii
import http.client
import socket
from typing import Any, TypeVar
from urllib.parse import quote

import msgspec

from basilwall.configuration.client import (
    PlatformError,
    PlatformReader,
    WatchReply,
)
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

    def __init__(self, address: str, watch_seconds: float) -> None:
        """Create a client whose watches the store holds for `watch_seconds`."""
        self.call_count = 0
        self._address = address
        self._watch_seconds = watch_seconds
        self._connection: http.client.HTTPConnection | None = None

    def watch(self, after: int) -> WatchReply:
        """Wait until there are changes above a revision or the watch ends.

        Args:
            after: The revision up to which all values are known here; 0 if
                none are.

        Returns:
            The changes, or a complete listing if `after` is 0 or the store no
            longer has the changes since then.

        Raises:
            PlatformError: If the store can't be reached or its reply is
                invalid.
        """
        if not after:
            return self._list_all()
        wait_ms = int(self._watch_seconds * MS_PER_SECOND)
        path = f'/v1/kv-watch?prefix=&after={after}&wait_ms={wait_ms}'
        status, body = self._get(
            path, self._watch_seconds + RESPONSE_GRACE_SECONDS
        )
        if status == HTTP_GONE:
            return self._list_all()
        changes = _decode(_changes_decoder, status, body)
        return WatchReply(changes.at, tuple(map(_value, changes.events)))

    def _list_all(self) -> WatchReply:
        """List all keys.

        The reply has the revision of the first page, so the next watch returns
        all changes made during the listing.
        """
        listed: list[PublishedValue] = []
        first_revision, page_query = 0, ''
        for _ in range(MAX_PAGES):
            path = f'/v1/kv-range?prefix={page_query}'
            page = _decode(
                _range_decoder, *self._get(path, READ_TIMEOUT_SECONDS)
            )
            first_revision = first_revision or page.at
            listed += map(_value, page.items)
            if not page.has_more:
                return WatchReply(first_revision, tuple(listed), is_whole=True)
            page_query = f'&after={quote(page.items[-1].key)}'
        raise PlatformError(f'listing has more than {MAX_PAGES} pages')

    def _get(self, path: str, timeout: float) -> tuple[int, bytes]:
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
            body = response.read()
        except (OSError, http.client.HTTPException) as error:
            connection.close()
            raise PlatformError(repr(error)) from error
        if response.will_close:
            connection.close()
        self._connection = connection
        return response.status, body


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


def _decode(
    decoder: msgspec.json.Decoder[DecodedT],
    status: int,
    body: bytes,
) -> DecodedT:
    if status != HTTP_OK:
        raise PlatformError(f'metadata store answered with status {status}')
    try:
        return decoder.decode(body)
    except msgspec.MsgspecError as error:
        raise PlatformError(str(error)) from error


def _value(item: _StoredItem) -> PublishedValue:
    """Convert a stored item to a published value.

    An empty body means that the key was removed. An item that is empty or
    isn't valid base64 gets a body that no decoder accepts instead.
    """
    if item.removed:
        return PublishedValue(item.key, item.revision, b'')
    try:
        body = base64.b64decode(item.value, validate=True)
    except (binascii.Error, ValueError):
        body = b'\xff'
    return PublishedValue(item.key, item.revision, body or b'\xff')
