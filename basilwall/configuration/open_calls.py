"""The HTTP calls to one server whose responses are awaited together."""

import http.client
import math
import select
from collections.abc import Iterator

from basilwall.configuration.http_call import (
    CallPurpose,
    CallResponse,
    HttpCall,
    ReadBody,
)
from basilwall.parts.clock import Clock

MS_PER_SECOND = 1000


class OpenCalls:
    """Calls that are waited for together; used by one thread.

    Attributes:
        call_count: All calls made.
        last_error: Why a call failed last.
    """

    def __init__(self, address: str, clock: Clock, read: ReadBody) -> None:
        """Create it, without calls.

        Args:
            address: The address of the server.
            clock: Dates the calls.
            read: Reads the body of a response to be used.
        """
        self.call_count = 0
        self.last_error: Exception | None = None
        self._address = address
        self._clock = clock
        self._read = read
        self._calls: list[HttpCall] = []

    def __bool__(self) -> bool:
        """Return whether there are any."""
        return bool(self._calls)

    def begin(
        self,
        purpose: CallPurpose,
        path: str,
        due_seconds: float,
        connection: http.client.HTTPConnection | None = None,
    ) -> None:
        """Begin a call.

        Args:
            purpose: What it is for.
            path: The path and the query.
            due_seconds: Time after which the response is overdue.
            connection: A connection on which a call was answered; None to open
                a new one.
        """
        self.call_count += 1
        now = self._clock.monotonic()
        try:
            call = HttpCall(
                self._address,
                path,
                purpose,
                now,
                now + due_seconds,
                connection,
            )
        except (OSError, http.client.HTTPException) as error:
            self.last_error = error
            if connection is not None:
                connection.close()
        else:
            self._calls.append(call)

    def wait(self, seconds: float) -> Iterator[tuple[HttpCall, CallResponse]]:
        """Wait for responses.

        Args:
            seconds: The longest time to wait.

        Yields:
            Each call that was answered, which is no longer among the open
            ones, and its response.
        """
        by_descriptor = {call.fileno(): call for call in self._calls}
        poller = select.poll()
        for descriptor in by_descriptor:
            poller.register(descriptor, by_descriptor[descriptor].events)
        timeout_ms = math.ceil(max(seconds, 0) * MS_PER_SECOND)
        for ready, _ in poller.poll(timeout_ms):
            call = by_descriptor[ready]
            response = self._advance(call)
            if response is not None:
                self._calls.remove(call)
                yield call, response

    def has_overdue(self) -> bool:
        """Return whether a response is overdue."""
        now = self._clock.monotonic()
        return any(call.due_at <= now for call in self._calls)

    def has_read_since(self, began_at: float) -> bool:
        """Return whether a call that reads began at a time or later."""
        return any(
            call.purpose is CallPurpose.READ and call.began_at >= began_at
            for call in self._calls
        )

    def close(self) -> None:
        """Close the connections of all calls."""
        for call in self._calls:
            call.close()
        self._calls = []

    def _advance(self, call: HttpCall) -> CallResponse | None:
        try:
            return call.advance(self._read)
        except (OSError, http.client.HTTPException) as error:
            self._calls.remove(call)
            call.close()
            self.last_error = error
            return None
