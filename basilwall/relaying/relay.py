"""Relays requests to other VMs while this VM reaches no searcher.

The other VM serves a relayed request as if its caller had sent it there, so
that attempts, limits, budgets and drains are all kept by that VM. It never
relays such a request again: a VM that can't serve it says so, and this VM asks
another one.
"""

import math
import random
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, replace

from basilwall.forwarding.connection import SearcherConnection
from basilwall.forwarding.reporting import Step, Trail
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
from basilwall.relaying.codec import RelayCodec
from basilwall.relaying.connections import RelayConnections
from basilwall.relaying.peers import RelayPeers

#: VMs that are asked to serve one request.
MAX_VMS = 4
#: A VM that has not accepted a connection by then is passed over.
CONNECT_SECONDS = 0.4
#: A VM that is silent for this long is asked last by further requests.
SILENCE_SECONDS = 1.0
CHECK_SECONDS = 0.1
#: Time reserved for the answer to travel back.
RETURN_MARGIN_SECONDS = 0.05
HTTP_NOT_FOUND = 404
NO_SERVICE = ServiceName('')


def _never() -> float:
    return math.inf


@dataclass(frozen=True, slots=True)
class RelayRequest:
    """A request to relay.

    `deadline` is when this VM must have an answer, in monotonic seconds.
    `min_version` is the oldest route table that may serve it, `known_version`
    that of this VM: if an older one has no route, another VM is asked.
    `max_attempts` is how many searchers of each service may still get it, None
    for as many as its route allows.
    """

    call: Call
    deadline: float
    min_version: int
    known_version: int
    max_attempts: int | None = None


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
        clock: Clock,
        rng: random.Random,
        stops_at: Callable[[], float] = _never,
    ) -> None:
        """Create a relay.

        Args:
            peers: The VMs that may be asked.
            connections: The connections to them.
            codec: Encodes requests and decodes answers.
            clock: The monotonic clock.
            rng: Draws the VM that is asked first among equals.
            stops_at: Returns when a planned stop gives its last answers, in
                monotonic seconds.
        """
        #: Newest version of the route table by which a caller was served here.
        self.seen_version = 0
        self._peers = peers
        self._connections = connections
        self._codec = codec
        self._clock = clock
        self._rng = rng
        self._stops_at = stops_at

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
        latest = request.deadline - RETURN_MARGIN_SECONDS
        for peer in self._peers.candidates(self._rng)[:MAX_VMS]:
            if self._clock.monotonic() >= min(latest, self._stops_at()):
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
            self._peers.avoid(peer)
            # It may have reached as many searchers as its route allows.
            if isinstance(outcome, Lost):
                return RelayResult(None, may_have_run=True)
        return RelayResult(None)

    def _ask(
        self,
        request: RelayRequest,
        peer: Member,
        waiter: AttemptWaiter[SocketAttempt],
    ) -> AttemptResult:
        call = replace(
            request.call,
            min_table_version=request.min_version,
            max_attempts=request.max_attempts,
        )
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
            return self._wait(request, peer, attempt, waiter)

    def _wait(
        self,
        request: RelayRequest,
        peer: Member,
        attempt: SocketAttempt,
        waiter: AttemptWaiter[SocketAttempt],
    ) -> AttemptResult:
        started_at = self._clock.monotonic()
        outcome = waiter.add(attempt)
        while outcome is None:
            now = self._clock.monotonic()
            silent_seconds = now - started_at
            is_unreached = (
                silent_seconds >= CONNECT_SECONDS and not attempt.is_sent
            )
            deadline = min(request.deadline, self._stops_at())
            if is_unreached or now >= deadline:
                return attempt.cancel(LossReason.TIMEOUT)
            if silent_seconds >= SILENCE_SECONDS:
                self._peers.avoid(peer)
            seconds = min(CHECK_SECONDS, deadline - now)
            for _, ended in waiter.wait(seconds):
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


def _describe(outcome: AttemptResult) -> str:
    if isinstance(outcome, Reply):
        return 'not taken'
    return f'not relayed: {outcome.reason.value} {outcome.detail}'.rstrip()


def _always() -> bool:
    return True
