"""Waits on the attempts of one request and on its caller at once."""

import select
import socket
from collections.abc import Iterator

from basilwall.forwarding.exchange import Exchange
from basilwall.forwarding.transport import CallerLeftError, Waiting
from basilwall.records.forwarding import AttemptResult

MILLISECONDS = 1000
#: Longest single wait, in seconds, so that a woken process looks around.
LONGEST_WAIT = 0.5
_LEFT = select.POLLHUP | select.POLLERR | select.POLLRDHUP


class Waiter(Waiting[Exchange]):
    """The sockets that one request waits on."""

    def __init__(self, caller: socket.socket | None = None) -> None:
        self._poll = select.poll()
        self._exchange_by_descriptor: dict[int, Exchange] = {}
        self._caller = caller
        self._caller_descriptor = -1
        if caller is not None:
            self._caller_descriptor = caller.fileno()
            self._poll.register(caller, select.POLLIN | select.POLLRDHUP)

    @property
    def exchanges(self) -> list[Exchange]:
        """The attempts that are waited for."""
        return list(self._exchange_by_descriptor.values())

    def add(self, attempt: Exchange) -> AttemptResult | None:
        """Start an attempt; returns its result if it failed at once."""
        result = None
        if attempt.is_connected:
            result = attempt.advance()
        if result is None:
            descriptor = attempt.connection.socket.fileno()
            self._exchange_by_descriptor[descriptor] = attempt
            self._poll.register(descriptor, _interest(attempt))
        return result

    def drop(self, attempt: Exchange) -> None:
        """Wait for an attempt no more."""
        descriptor = attempt.connection.socket.fileno()
        if self._exchange_by_descriptor.pop(descriptor, None) is not None:
            self._poll.unregister(descriptor)

    def wait(
        self,
        seconds: float,
    ) -> Iterator[tuple[Exchange, AttemptResult]]:
        """Wait for results.

        Args:
            seconds: The longest wait.

        Yields:
            Each attempt that ended, with its result.

        Raises:
            CallerLeftError: If the caller closed its connection.
        """
        bounded = min(max(seconds, 0), LONGEST_WAIT)
        for descriptor, events in self._poll.poll(bounded * MILLISECONDS):
            if descriptor == self._caller_descriptor:
                self._look_at_caller(events)
                continue
            exchange = self._exchange_by_descriptor.get(descriptor)
            if exchange is None:
                continue
            result = exchange.advance()
            if result is None:
                self._poll.modify(descriptor, _interest(exchange))
            else:
                self.drop(exchange)
                yield exchange, result

    def _look_at_caller(self, events: int) -> None:
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


def _interest(exchange: Exchange) -> int:
    if exchange.wants_write:
        return select.POLLOUT | select.POLLIN
    return select.POLLIN
