"""Finds the end of a request's head among the bytes received so far."""

import math

from basilwall.ingress.request_parser import EMPTY_LINE, UnreadableRequestError

HTTP_HEADERS_TOO_LARGE = 431
LINE_ENDS = b'\r\n'


class HeadSearch:
    """The search for one head; `begun_at` is when its first byte was seen.

    That is in monotonic seconds, infinite before it.
    """

    def __init__(self) -> None:
        self.begun_at = math.inf
        self.has_begun = False
        self._max_bytes = 0
        self._skipped_bytes = 0
        self._searched_bytes = 0

    def skip_empty_lines(self, received: bytes) -> bytes:
        """Return the bytes without empty lines that precede the request."""
        stripped = received.lstrip(LINE_ENDS)
        self._skipped_bytes += len(received) - len(stripped)
        self.has_begun = bool(stripped or self._skipped_bytes)
        return stripped

    def find_end(self, received: bytes, max_bytes: int, now: float) -> int:
        """Return the size of the head, 0 if it is not complete.

        Args:
            received: The bytes of the head so far, and those after it.
            max_bytes: The limit now in force; a head that began under a higher
                one may be as long as that.
            now: The current time, in monotonic seconds.

        Raises:
            UnreadableRequestError: If it is longer.
        """
        self.begun_at = min(self.begun_at, now)
        self._max_bytes = max(self._max_bytes, max_bytes)
        start = max(self._searched_bytes - len(EMPTY_LINE) + 1, 0)
        position = received.find(EMPTY_LINE, start)
        self._searched_bytes = len(received)
        end = position + len(EMPTY_LINE) if position >= 0 else 0
        # One that is not complete has at least one byte more.
        least_size = end or len(received) + 1
        if max(least_size, self._skipped_bytes) > self._max_bytes:
            raise UnreadableRequestError(
                HTTP_HEADERS_TOO_LARGE,
                f'the head is longer than {self._max_bytes} bytes',
            )
        return end
