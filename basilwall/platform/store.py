"""The platform's metadata store over HTTP, read only.

A first read lists everything page by page; from then on one waiting call
covers all keys. The connection is kept, and probed while it is silent: a
waiting call can't tell a quiet store from a connection that went dead.
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

#: Added to that before the connection counts as dead, in seconds.
RESPONSE_GRACE_SECONDS = 1.0
READ_TIMEOUT_SECONDS = 2.0
MS_PER_SECOND = 1000
MAX_PAGES = 1000
#: Probing of a silent connection: first after, then every, in seconds.
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
    # The store's revision when this page was made.
    at: int
    has_more: bool = False


class _Changes(msgspec.Struct):
    events: tuple[_StoredItem, ...]
    # Where the next watch goes on.
    at: int


DecodedT = TypeVar('DecodedT')

_range_decoder = msgspec.json.Decoder(_Range)
_changes_decoder = msgspec.json.Decoder(_Changes)


class HttpStoreClient(PlatformReader):
    """A reader of the store at one address."""

    def __init__(self, address: str, watch_seconds: float) -> None:
        """Make a reader whose watches the store holds for `watch_seconds`."""
        self.call_count = 0
        self._address = address
        self._watch_seconds = watch_seconds
        self._connection: http.client.HTTPConnection | None = None

    def watch(self, after: int) -> WatchReply:
        """Wait until there are changes above a revision, or the wait ends.

        Args:
            after: The revision up to which all is known; 0 for nothing.

        Returns:
            The changes, or a whole listing if changes are not to be had.

        Raises:
            PlatformError: If the store is down or its reply is not valid.
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
        """List all keys; changes since the first page come with a watch."""
        listed: list[PublishedValue] = []
        first_at, start = 0, ''
        for _ in range(MAX_PAGES):
            path = f'/v1/kv-range?prefix={start}'
            page = _decode(
                _range_decoder, *self._get(path, READ_TIMEOUT_SECONDS)
            )
            first_at = first_at or page.at
            listed += map(_value, page.items)
            if not page.has_more:
                return WatchReply(first_at, tuple(listed), is_whole=True)
            start = f'&after={quote(page.items[-1].key)}'
        raise PlatformError('the listing does not end')

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
        raise PlatformError(f'status {status}')
    try:
        return decoder.decode(body)
    except msgspec.MsgspecError as error:
        raise PlatformError(str(error)) from error


def _value(item: _StoredItem) -> PublishedValue:
    """Return an item as a value; one that can't be read as odd bytes."""
    if item.removed:
        return PublishedValue(item.key, item.revision, b'')
    try:
        body = base64.b64decode(item.value, validate=True)
    except (binascii.Error, ValueError):
        body = b'\xff'
    return PublishedValue(item.key, item.revision, body or b'\xff')
