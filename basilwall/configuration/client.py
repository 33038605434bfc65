"""HTTP client of the configuration service, by long polling.

One watch covers all keys of this product, so it costs one call each time it
returns, however many services there are. The client never writes.
"""

import http.client
from abc import ABC, abstractmethod

import msgspec

from basilwall.records.catalogue import PublishedValue

#: Longest time that the service may hold a watch open.
WATCH_SECONDS = 10
#: Further time after which the call times out.
WATCH_GRACE_SECONDS = 3
HTTP_OK = 200


class PlatformError(Exception):
    """The platform could not be read; the values read before stay in force."""


class WatchReply(msgspec.Struct, frozen=True):
    """The values above the requested revision.

    If `is_whole` is True, `values` are all values that exist: other keys have
    been removed, but for `live_keys`, whose values were known before.
    `revision` is the highest revision of the platform. If
    `is_restored` is True, the platform came back from an older copy: entries
    may be missing because they were lost, or be there because their removal
    was.
    """

    revision: int
    values: tuple[PublishedValue, ...]
    is_whole: bool = False
    is_restored: bool = False
    live_keys: tuple[str, ...] = ()


class PlatformReader(ABC):
    """Source of configuration values."""

    @abstractmethod
    def watch(self, after: int) -> WatchReply:
        """Wait for values with a revision above `after`.

        Args:
            after: The highest revision known to the caller, 0 for none.

        Returns:
            The values; none if the wait timed out.

        Raises:
            PlatformError: If the values could not be read.
        """


_decoder = msgspec.json.Decoder(WatchReply)


class HttpPlatformReader(PlatformReader):
    """Reads the configuration service at one address."""

    def __init__(self, address: str, prefix: str) -> None:
        self._address = address
        self._prefix = prefix

    def watch(self, after: int) -> WatchReply:
        """Wait for values with a revision above `after`.

        Args:
            after: The highest revision known to this VM.

        Returns:
            The values; none if the wait timed out.

        Raises:
            PlatformError: If the service is down or its reply is invalid.
        """
        path = f'/v1/watch?prefix={self._prefix}&after={after}'
        connection = http.client.HTTPConnection(
            self._address,
            timeout=WATCH_SECONDS + WATCH_GRACE_SECONDS,
        )
        try:
            connection.request('GET', f'{path}&wait_s={WATCH_SECONDS}')
            response = connection.getresponse()
            body = response.read()
        except (OSError, http.client.HTTPException) as error:
            raise PlatformError(str(error)) from error
        finally:
            connection.close()
        if response.status != HTTP_OK:
            raise PlatformError(f'HTTP status {response.status}')
        try:
            return _decoder.decode(body)
        except msgspec.DecodeError as error:
            raise PlatformError(str(error)) from error
