"""What carries attempts to searchers and their results back.

Requests are run against these interfaces, so that the same decisions can be
played over sockets and over a model of the searchers.
"""

import socket
from abc import ABC, abstractmethod
from collections.abc import Iterator
from typing import Generic, TypeVar

from basilwall.records.forwarding import AttemptResult, Call, LossReason
from basilwall.records.searcher import Searcher


class CallerLeftError(Exception):
    """The caller closed its connection before its answer."""


class Attempt(ABC):
    """One attempt at one searcher.

    `sent_at` is in monotonic seconds; until the first byte is sent it is when
    the attempt began.
    """

    searcher: Searcher
    sent_at: float
    is_sent: bool

    @property
    @abstractmethod
    def is_connected(self) -> bool:
        """True once there is a connection to send it on."""

    @abstractmethod
    def cancel(self, reason: LossReason) -> AttemptResult:
        """End the attempt; its connection can't be kept."""


AttemptT = TypeVar('AttemptT', bound=Attempt)


class AttemptWaiter(ABC, Generic[AttemptT]):
    """The attempts that one request waits on, and its caller."""

    @abstractmethod
    def add(self, attempt: AttemptT) -> AttemptResult | None:
        """Start an attempt; returns its result if it failed at once."""

    @abstractmethod
    def remove(self, attempt: AttemptT) -> None:
        """Wait for an attempt no more."""

    @abstractmethod
    def wait(self, seconds: float) -> Iterator[tuple[AttemptT, AttemptResult]]:
        """Wait for results.

        Args:
            seconds: The longest wait.

        Yields:
            Each attempt that ended, with its result.

        Raises:
            CallerLeftError: If the caller closed its connection.
        """


class Transport(ABC, Generic[AttemptT]):
    """Begins and ends attempts."""

    @abstractmethod
    def make_waiter(
        self, caller: socket.socket | None
    ) -> AttemptWaiter[AttemptT]:
        """Return what a request waits with, watching its caller if given."""

    @abstractmethod
    def prepare_attempt(
        self, call: Call, searcher: Searcher, deadline: float
    ) -> AttemptT:
        """Prepare an attempt.

        Args:
            call: The request.
            searcher: Where it is to go.
            deadline: Nothing is sent after this, in monotonic seconds.

        Returns:
            The attempt; it starts once it is waited for.
        """

    @abstractmethod
    def release_connection(self, attempt: AttemptT) -> None:
        """Keep the connection of an attempt that ended, if it can be kept."""

    @abstractmethod
    def supersede(self, attempt: AttemptT, number: int) -> None:
        """Take over an attempt that its request waits for no more.

        Args:
            attempt: The attempt, still in flight.
            number: What the standing of its searcher counts it by.
        """
