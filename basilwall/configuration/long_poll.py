"""Long polling of an HTTP server that may fall silent.

In a silent outage requests and responses are lost, and nothing more comes on
their connections, not even once the server is back. So a call is not waited for
alone: beside it, cheap reads check whether the server answers and has anything
new. If a check is overdue, further ones begin beside it, each on a connection
of its own. Once one is answered, what was asked for is read on its connection.
No call is given up meanwhile, because a slow server answers the first one
first.
"""

import http.client
import logging
import math
import random
from collections.abc import Callable
from dataclasses import dataclass

from basilwall.configuration.client import PlatformError, UnusableReplyError
from basilwall.configuration.http_call import (
    HTTP_OK,
    CallPurpose,
    CallResponse,
    HttpCall,
    ReadBody,
)
from basilwall.configuration.kept_connections import KeptConnections
from basilwall.configuration.limited_read import (
    ResponseTooLargeError,
    read_body,
)
from basilwall.configuration.open_calls import OpenCalls
from basilwall.parts.clock import Clock

#: A response that comes later than this after it is due is overdue.
OVERDUE_SECONDS = 0.35
#: Time between two checks; it is drawn, because a change and an outage make all
#: VMs begin at the same time.
MIN_INTERVAL_SECONDS = 0.35
MAX_INTERVAL_SECONDS = 0.55
#: Time after which overdue calls are given up and reported as failed.
GIVE_UP_SECONDS = 5.0
#: A server that did not answer for this long may have lost what others report
#: to it regularly.
SILENCE_SECONDS = 2.0

_log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class Poll:
    """What to read.

    Attributes:
        path: Read on a connection on which the server has just answered.
        quick_path: The same, answered at once; read on other connections.
        check_path: A cheap read.
        hold_seconds: How long the server may hold `path`.
        has_news: Returns whether the response of a check shows something that
            the response to `path` should have brought.
    """

    path: str
    quick_path: str
    check_path: str
    hold_seconds: float
    has_news: Callable[[CallResponse], bool]


class LongPollClient:
    """Reads one HTTP server; used by one thread."""

    def __init__(
        self,
        address: str,
        clock: Clock,
        rng: random.Random,
        read: ReadBody = read_body,
    ) -> None:
        """Create a client.

        Args:
            address: The address of the server.
            clock: Times the calls.
            rng: Draws the time between checks.
            read: Reads the body of a response.
        """
        self._clock = clock
        self._rng = rng
        self._calls = OpenCalls(address, clock, read)
        self._kept = KeptConnections()
        self._next_check_at = math.inf
        self._answered_at = clock.monotonic()
        #: Whether a call is overdue or the last one failed.
        self._is_silent = False
        self._was_silent = False

    @property
    def call_count(self) -> int:
        """All calls made."""
        return self._calls.call_count

    def get(self, poll: Poll) -> CallResponse:
        """Read a path.

        Args:
            poll: What to read.

        Returns:
            The response, of any status.

        Raises:
            PlatformError: If the server can't be reached, refuses the cheap
                read, or answers nothing for long.
            UnusableReplyError: If the response is too large.
        """
        began_at = self._clock.monotonic()
        try:
            response = self._begin_and_wait(poll, began_at)
        except PlatformError:
            self._is_silent = True
            raise
        finally:
            self._calls.close()
        self._record_answered()
        return response

    def take_was_silent(self) -> bool:
        """Return whether nothing was answered for long since this was asked."""
        was_silent, self._was_silent = self._was_silent, False
        return was_silent

    def drop_connections(self) -> None:
        """Close the connections that are kept open for the next calls."""
        self._kept.close()

    def _begin_and_wait(self, poll: Poll, began_at: float) -> CallResponse:
        gives_up_at = began_at + poll.hold_seconds + GIVE_UP_SECONDS
        self._begin_first(poll)
        while self._calls:
            now = self._clock.monotonic()
            if now >= gives_up_at:
                raise PlatformError(f'no answer for {now - began_at:.1f} s')
            if now >= self._next_check_at:
                self._begin_next_check(poll)
            wait_until = min(self._next_check_at, gives_up_at)
            for call, response in self._calls.wait(wait_until - now):
                if call.purpose is CallPurpose.READ:
                    self._kept.keep(call, response)
                    return response
                self._use_check(call, response, poll)
        raise _failure(self._calls.last_error)

    def _begin_first(self, poll: Poll) -> None:
        kept = self._kept.take(CallPurpose.READ)
        if kept is not None:
            due_seconds = poll.hold_seconds + OVERDUE_SECONDS
            self._calls.begin(CallPurpose.READ, poll.path, due_seconds, kept)
            self._set_next_check()
        if not self._calls:
            self._begin_check(poll, None)

    def _begin_next_check(self, poll: Poll) -> None:
        """Begin a check, on a new connection if a response is overdue."""
        kept = self._kept.take(CallPurpose.CHECK)
        if self._calls.has_overdue():
            self._record_overdue(poll)
            kept = None
        self._begin_check(poll, kept)

    def _begin_check(
        self, poll: Poll, kept: http.client.HTTPConnection | None
    ) -> None:
        self._calls.begin(
            CallPurpose.CHECK, poll.check_path, OVERDUE_SECONDS, kept
        )
        self._set_next_check()

    def _set_next_check(self) -> None:
        interval_seconds = self._rng.uniform(
            MIN_INTERVAL_SECONDS, MAX_INTERVAL_SECONDS
        )
        self._next_check_at = self._clock.monotonic() + interval_seconds

    def _use_check(
        self, check: HttpCall, response: CallResponse, poll: Poll
    ) -> None:
        """Read on the connection of a check that was answered, if need be.

        Raises:
            PlatformError: If the server refused the check.
        """
        if response.status != HTTP_OK:
            check.close()
            raise PlatformError(f'check answered with {response.status}')
        has_read = self._calls.has_read_since(-math.inf)
        is_read_lost = self._is_silent or poll.has_news(response)
        is_read_on_its_way = self._calls.has_read_since(check.began_at)
        self._kept.keep(check, response)
        if is_read_on_its_way or (has_read and not is_read_lost):
            return
        self._calls.begin(
            CallPurpose.READ,
            poll.quick_path,
            OVERDUE_SECONDS,
            self._kept.take(CallPurpose.CHECK),
        )
        self._set_next_check()

    def _record_overdue(self, poll: Poll) -> None:
        if self._is_silent:
            return
        self._is_silent = True
        seconds = self._clock.monotonic() - self._answered_at
        _log.warning(
            'platform does not answer',
            extra={'seconds': round(seconds, 2), 'held': poll.hold_seconds},
        )

    def _record_answered(self) -> None:
        now = self._clock.monotonic()
        seconds, self._answered_at = now - self._answered_at, now
        if not self._is_silent:
            return
        self._is_silent = False
        self._was_silent = self._was_silent or seconds >= SILENCE_SECONDS
        _log.info(
            'platform answers again',
            extra={'seconds': round(seconds, 2), 'calls': self.call_count},
        )


def _failure(error: Exception | None) -> PlatformError:
    is_too_large = isinstance(error, ResponseTooLargeError)
    error_class = UnusableReplyError if is_too_large else PlatformError
    return error_class(repr(error))
