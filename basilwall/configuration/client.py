"""The configuration service over HTTP: one waiting watch for each VM.

One watch over all our keys costs one call each time it returns, however many
services there are; nothing is ever written.
"""

import http.client
from abc import ABC, abstractmethod

import msgspec

from basilwall.records.catalogue import PublishedValue

#: How long the service may hold a watch open, in seconds.
WATCH_SECONDS = 10
#: Added to that before the connection counts as dead, in seconds.
WATCH_GRACE_SECONDS = 3
HTTP_OK = 200


class PlatformError(Exception):
    """The platform could not be read; what was known stays in force."""


class WatchReply(msgspec.Struct, frozen=True):
    """All values above the revision asked for.

    `is_whole` says that these are all values there are: keys that are not
    among them have been removed.
    """

    revision: int
    values: tuple[PublishedValue, ...]
    is_whole: bool = False


class PlatformReader(ABC):
    """What the watch task needs from the platform."""

    @abstractmethod
    def watch(self, after: int) -> WatchReply:
        """Wait for values with a revision above `after`."""


_decoder = msgspec.json.Decoder(WatchReply)


class HttpPlatformReader(PlatformReader):
    """A reader of the configuration service at one address."""

    def __init__(self, address: str, prefix: str) -> None:
        self._address = address
        self._prefix = prefix

    def watch(self, after: int) -> WatchReply:
        """Wait until there are values above a revision, or the wait ends.

        Args:
            after: The highest revision known here.

        Returns:
            The values, none if the wait ended first.

        Raises:
            PlatformError: If the service is down or its reply is not valid.
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
            raise PlatformError(f'status {response.status}')
        try:
            return _decoder.decode(body)
        except msgspec.DecodeError as error:
            raise PlatformError(str(error)) from error
