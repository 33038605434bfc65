"""Waits on the attempts of one request and on its caller at once."""

import select
import socket
from collections.abc import Iterator

from basilwall.forwarding.socket_attempt import SocketAttempt
from basilwall.forwarding.transport import AttemptWaiter, CallerLeftError
from basilwall.records.forwarding import AttemptResult

MS_PER_SECOND = 1000
#: Longest single wait, in seconds, so that a woken process looks around.
MAX_WAIT_SECONDS = 0.5
_LEFT = select.POLLHUP | select.POLLERR | select.POLLRDHUP


class SocketWaiter(AttemptWaiter[SocketAttempt]):
    """The sockets that one request waits on."""

    def __init__(self, caller: socket.socket | None = None) -> None:
        self._poll = select.poll()
        self._attempts_by_descriptor: dict[int, SocketAttempt] = {}
        self._caller = caller
        self._caller_descriptor = -1
        if caller is not None:
            self._caller_descriptor = caller.fileno()
            self._poll.register(caller, select.POLLIN | select.POLLRDHUP)

    @property
    def attempts(self) -> list[SocketAttempt]:
        """The attempts that are waited for."""
        return list(self._attempts_by_descriptor.values())

    def add(self, attempt: SocketAttempt) -> AttemptResult | None:
        """Start an attempt; returns its result if it failed at once."""
        result = None
        if attempt.is_connected:
            result = attempt.advance()
        if result is None:
            descriptor = attempt.connection.socket.fileno()
            self._attempts_by_descriptor[descriptor] = attempt
            self._poll.register(descriptor, _interest(attempt))
        return result

    def remove(self, attempt: SocketAttempt) -> None:
        """Wait for an attempt no more."""
        descriptor = attempt.connection.socket.fileno()
        if self._attempts_by_descriptor.pop(descriptor, None) is not None:
            self._poll.unregister(descriptor)

    def wait(
        self,
        seconds: float,
    ) -> Iterator[tuple[SocketAttempt, AttemptResult]]:
        """Wait for results.

        Args:
            seconds: The longest wait.

        Yields:
            Each attempt that ended, with its result.

        Raises:
            CallerLeftError: If the caller closed its connection.
        """
        bounded = min(max(seconds, 0), MAX_WAIT_SECONDS)
        for descriptor, events in self._poll.poll(bounded * MS_PER_SECOND):
            if descriptor == self._caller_descriptor:
                self._check_caller(events)
                continue
            exchange = self._attempts_by_descriptor.get(descriptor)
            if exchange is None:
                continue
            result = exchange.advance()
            if result is None:
                self._poll.modify(descriptor, _interest(exchange))
            else:
                self.remove(exchange)
                yield exchange, result

    def _check_caller(self, events: int) -> None:
        caller = self._caller
        if caller is None:
            return
        if events & _LEFT:
            raise CallerLeftError
        try:
            ahead = caller.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return
        except OSError as error:
            raise CallerLeftError from error
        if not ahead:
            raise CallerLeftError
        # The next request is here already; it waits its turn.
        self._poll.modify(caller, select.POLLRDHUP)


def _interest(exchange: SocketAttempt) -> int:
    if exchange.is_waiting_to_write:
        return select.POLLOUT | select.POLLIN
    return select.POLLIN
