"""HTTP client of the configuration service, by long polling.

One watch covers all keys of this product, so it costs one call each time it
returns, however many services there are. The client never writes.
"""

import random

import msgspec

from basilwall.configuration.client import (
    PlatformError,
    PlatformReader,
    WatchReply,
)
from basilwall.configuration.http_call import HTTP_OK, CallResponse
from basilwall.configuration.long_poll import LongPollClient, Poll
from basilwall.configuration.service_messages import ServiceReply
from basilwall.parts.clock import Clock
from basilwall.records.revision import Revision

#: Longest time that the service may hold a watch open.
WATCH_SECONDS = 10

_decoder = msgspec.json.Decoder(ServiceReply)


class HttpPlatformReader(PlatformReader):
    """Reads the configuration service at one address."""

    def __init__(
        self, address: str, prefix: str, clock: Clock, rng: random.Random
    ) -> None:
        """Create a client.

        Args:
            address: The address of the service.
            prefix: The prefix of the keys to read.
            clock: Times the calls.
            rng: Draws the time between calls.
        """
        self._prefix = prefix
        self._calls = LongPollClient(address, clock, rng)

    def watch(self, after: Revision) -> WatchReply:
        """Wait for values with a revision above `after`.

        Args:
            after: The highest revision known to this VM.

        Returns:
            The values; none if the wait timed out.

        Raises:
            PlatformError: If the service is down or its reply is invalid.
        """
        path = f'/v1/watch?prefix={self._prefix}&after={after.number}&wait_s='
        response = self._calls.get(
            Poll(
                f'{path}{WATCH_SECONDS}',
                f'{path}0',
                f'{path}0',
                WATCH_SECONDS,
                _has_values,
            )
        )
        if response.status != HTTP_OK:
            self._calls.drop_connections()
            raise PlatformError(f'HTTP status {response.status}')
        reply = _decode(response)
        was_silent = self._calls.take_was_silent()
        return msgspec.structs.replace(reply, was_silent=was_silent)


def _decode(response: CallResponse) -> WatchReply:
    try:
        return _decoder.decode(response.body).as_watch_reply()
    except msgspec.DecodeError as error:
        raise PlatformError(str(error)) from error


def _has_values(response: CallResponse) -> bool:
    return bool(_decode(response).values)
