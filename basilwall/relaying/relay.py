"""Relays requests to other VMs while this VM reaches no searcher.

The other VM serves a relayed request as if its caller had sent it there, so
that attempts, limits, budgets and drains are all kept by that VM. It never
relays such a request again: a VM that can't serve it says so, and this VM asks
another one.
"""

import random
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from dataclasses import dataclass, replace

from basilwall.forwarding.connection import SearcherConnection
from basilwall.forwarding.reporting import Step, Trail
from basilwall.forwarding.retry_policy import RetryPolicy
from basilwall.forwarding.socket_attempt import SocketAttempt
from basilwall.forwarding.transport import AttemptWaiter
from basilwall.parts.clock import Clock
from basilwall.parts.membership import Member
from basilwall.records.forwarding import (
    Answer,
    AttemptResult,
    Call,
    LossReason,
    Lost,
    Reply,
    Verdict,
)
from basilwall.records.ids import SearcherId, ServiceName
from basilwall.records.routes import RetrySafety
from basilwall.relaying.codec import RelayCodec
from basilwall.relaying.connections import RelayConnections
from basilwall.relaying.peers import RelayPeers

#: VMs that are asked to serve one request.
MAX_VMS = 4
#: A VM that has not accepted a connection by then is passed over.
CONNECT_SECONDS = 0.4
#: An idempotent request is sent to another VM if one is silent for this long.
SILENCE_SECONDS = 1.0
#: Time reserved for the answer to travel back.
RETURN_MARGIN_SECONDS = 0.05
HTTP_NOT_FOUND = 404
NO_SERVICE = ServiceName('')


@dataclass(frozen=True, slots=True)
class RelayRequest:
    """A request to relay.

    `deadline` is when this VM must have an answer, in monotonic seconds.
    `min_version` is the oldest route table that may serve it, `known_version`
    that of this VM: if an older one has no route, another VM is asked.
    `services` are charged if it is sent a second time after it may have run.
    """

    call: Call
    retry_safety: RetrySafety
    services: Sequence[ServiceName]
    deadline: float
    min_version: int
    known_version: int


@dataclass(frozen=True, slots=True)
class RelayResult:
    """The answer of another VM, None if none gave one.

    `may_have_run` is True if the request was sent to a VM that did not answer.
    """

    answer: Answer | None
    may_have_run: bool = False


class Relay:
    """Sends requests to other VMs and returns their answers."""

    def __init__(
        self,
        peers: RelayPeers,
        connections: RelayConnections,
        codec: RelayCodec,
        retry_policy: RetryPolicy,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        #: Newest version of the route table by which a caller was served here.
        self.seen_version = 0
        self._peers = peers
        self._connections = connections
        self._codec = codec
        self._retry_policy = retry_policy
        self._clock = clock
        self._rng = rng

    def note_version(self, version: int) -> None:
        """Record that a caller of this VM is served by a route table."""
        self.seen_version = max(self.seen_version, version)

    def serve(
        self,
        request: RelayRequest,
        waiter: AttemptWaiter[SocketAttempt],
        trail: Trail,
    ) -> RelayResult:
        """Have a request served by another VM.

        Args:
            request: The request.
            waiter: Waits for the answer, and for its caller.
            trail: Records the VMs that were asked.

        Returns:
            The answer, if a VM gave one.

        Raises:
            CallerLeftError: If the caller closed its connection.
        """
        may_have_run = False
        for peer in self._peers.candidates(self._rng)[:MAX_VMS]:
            if not self._may_ask(request, may_have_run=may_have_run):
                break
            outcome = self._ask(request, peer, waiter)
            answer = self._answer(outcome, request.known_version)
            event = 'relayed' if answer else _describe(outcome)
            trail.add(
                Step(
                    self._clock.monotonic() - request.call.received_at,
                    NO_SERVICE,
                    SearcherId(peer.address),
                    event,
                )
            )
            if answer is not None:
                return RelayResult(answer)
            may_have_run |= isinstance(outcome, Lost)
            self._peers.avoid(peer)
        return RelayResult(None, may_have_run)

    def _may_ask(self, request: RelayRequest, *, may_have_run: bool) -> bool:
        """Return whether there is time to ask a VM, and it may be asked."""
        latest = request.deadline - RETURN_MARGIN_SECONDS
        if self._clock.monotonic() >= latest:
            return False
        if not may_have_run:
            return True
        if request.retry_safety is not RetrySafety.IDEMPOTENT:
            return False
        return self._retry_policy.spend_each(request.services)

    def _ask(
        self,
        request: RelayRequest,
        peer: Member,
        waiter: AttemptWaiter[SocketAttempt],
    ) -> AttemptResult:
        call = replace(request.call, min_table_version=request.min_version)
        connection = self._connections.checkout(peer)
        attempt = SocketAttempt(
            call,
            connection,
            self._codec,
            self._clock,
            request.deadline - RETURN_MARGIN_SECONDS,
            _always,
            self._connections.memory,
        )
        with self._releasing(attempt, connection, waiter):
            return self._wait(request, attempt, waiter)

    def _wait(
        self,
        request: RelayRequest,
        attempt: SocketAttempt,
        waiter: AttemptWaiter[SocketAttempt],
    ) -> AttemptResult:
        started_at = self._clock.monotonic()
        outcome = waiter.add(attempt)
        while outcome is None:
            limit = _time_limit(request, attempt)
            ends_at = min(started_at + limit, request.deadline)
            seconds_left = ends_at - self._clock.monotonic()
            if seconds_left <= 0:
                return attempt.cancel(LossReason.TIMEOUT)
            for _, ended in waiter.wait(seconds_left):
                outcome = ended
        return outcome

    @contextmanager
    def _releasing(
        self,
        attempt: SocketAttempt,
        connection: SearcherConnection,
        waiter: AttemptWaiter[SocketAttempt],
    ) -> Iterator[None]:
        """Keep the connection if it can carry another request, else close it.

        A VM whose connection is closed stops serving the request.
        """
        try:
            yield
        finally:
            waiter.remove(attempt)
            self._connections.release(
                connection, may_keep=attempt.may_keep_connection
            )

    def _answer(
        self, outcome: AttemptResult, known_version: int
    ) -> Answer | None:
        if not isinstance(outcome, Reply):
            return None
        if self._codec.is_not_taken(outcome):
            return None
        version = self._codec.table_version(outcome)
        if outcome.status == HTTP_NOT_FOUND and version < known_version:
            return None
        self.note_version(version)
        return Answer(
            Verdict.RELAYED,
            outcome.status,
            outcome.body,
            outcome.reason,
            self._codec.caller_headers(outcome),
        )


def _time_limit(request: RelayRequest, attempt: SocketAttempt) -> float:
    """Return how long to wait for a VM at most, in seconds."""
    if not attempt.is_sent:
        return CONNECT_SECONDS
    if request.retry_safety is RetrySafety.IDEMPOTENT:
        return SILENCE_SECONDS
    return request.deadline


def _describe(outcome: AttemptResult) -> str:
    if isinstance(outcome, Reply):
        return 'not taken'
    return f'not relayed: {outcome.reason.value} {outcome.detail}'.rstrip()


def _always() -> bool:
    return True
