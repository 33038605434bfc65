"""Interfaces that carry attempts to searchers and their results back.

They are implemented over sockets, and by the simulation over a model of the
searchers, so that both run the same forwarding decisions.
"""

import socket
from abc import ABC, abstractmethod
from collections.abc import Iterator
from typing import Generic, TypeVar

from basilwall.records.forwarding import AttemptResult, Call, LossReason
from basilwall.records.searcher import Searcher


class CallerLeftError(Exception):
    """The caller closed its connection before it was answered."""


class Attempt(ABC):
    """One attempt at one searcher.

    `sent_at` is the time of the first byte sent, in monotonic seconds; before
    that, the time when the attempt was prepared.
    """

    searcher: Searcher
    sent_at: float
    is_sent: bool

    @property
    @abstractmethod
    def is_connected(self) -> bool:
        """True once the connection is established."""

    @abstractmethod
    def cancel(self, reason: LossReason) -> AttemptResult:
        """End the attempt; its connection can not be reused."""


AttemptT = TypeVar('AttemptT', bound=Attempt)


class AttemptWaiter(ABC, Generic[AttemptT]):
    """Waits for the attempts of one request and for its caller."""

    @abstractmethod
    def add(self, attempt: AttemptT) -> AttemptResult | None:
        """Start an attempt and return its result if it has already ended."""

    @abstractmethod
    def remove(self, attempt: AttemptT) -> None:
        """Stop waiting for an attempt."""

    @abstractmethod
    def wait(self, seconds: float) -> Iterator[tuple[AttemptT, AttemptResult]]:
        """Wait for results.

        Args:
            seconds: The maximum time to wait.

        Yields:
            Each attempt that ended, with its result.

        Raises:
            CallerLeftError: If the caller closed its connection.
        """


class Transport(ABC, Generic[AttemptT]):
    """Prepares attempts and releases their connections."""

    @abstractmethod
    def make_waiter(
        self, caller: socket.socket | None
    ) -> AttemptWaiter[AttemptT]:
        """Return a waiter that also watches the caller's socket, if given."""

    @abstractmethod
    def prepare_attempt(
        self, call: Call, searcher: Searcher, deadline: float
    ) -> AttemptT:
        """Prepare an attempt.

        Args:
            call: The request.
            searcher: The searcher to send it to.
            deadline: Nothing is sent after this time, in monotonic seconds.

        Returns:
            The attempt; it starts when it is added to a waiter.
        """

    @abstractmethod
    def prepare_connection(self, searcher: Searcher) -> None:
        """Begin to connect to a searcher that may get an attempt soon.

        Nothing is done if an idle connection is there.
        """

    @abstractmethod
    def release_connection(self, attempt: AttemptT) -> None:
        """Return the connection of an ended attempt to its pool or close it."""

    @abstractmethod
    def supersede(self, attempt: AttemptT, attempt_number: int) -> None:
        """Take over an in-flight attempt whose result is no longer needed.

        Args:
            attempt: The attempt, still in flight.
            attempt_number: Its number in the statistics of its searcher.
        """
