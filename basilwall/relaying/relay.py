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

from basilwall.forwarding.answers import NOT_RUN_STATUSES
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
    Unsent,
    Verdict,
)
from basilwall.records.ids import SearcherId, ServiceName
from basilwall.records.searcher import SearcherProcess
from basilwall.relaying.codec import RelayCodec
from basilwall.relaying.connections import RelayConnections
from basilwall.relaying.peers import RelayPeers
from basilwall.relaying.provenance import NOT_RUN_BY_VM, AnswerOrigin

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
#: By these a VM says that it could not read a request, which was read here.
UNREAD_STATUSES = frozenset((400, 413, 431))
NO_SERVICE = ServiceName('')


RecordAnnouncements = Callable[[SearcherProcess, Reply, float], None]


def _ignore_announcements(*_: object) -> None:
    """Ignore what a searcher says of itself."""


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
    """The answer of another VM, None if none gave one that can be passed on.

    `may_have_run` is True if the request was sent to a VM that did not answer,
    or did not say that the request has not run.
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
        #: Called with what a searcher says of itself in an answer that is
        #: passed on: its process, the answer, and when it was asked for.
        self.record_announcements: RecordAnnouncements = _ignore_announcements
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
            asked_at = self._clock.monotonic()
            outcome = self._ask(request, peer, waiter)
            relayed = self._evaluate(outcome, request.known_version, asked_at)
            is_answered = relayed is not None and relayed.answer is not None
            event = 'relayed' if is_answered else _describe(outcome)
            trail.add(
                Step(
                    self._clock.monotonic() - request.call.received_at,
                    NO_SERVICE,
                    SearcherId(peer.address),
                    event,
                )
            )
            if not is_answered:
                self._peers.avoid(peer)
            if relayed is not None:
                return relayed
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
            self._release(attempt, connection)

    def _release(
        self, attempt: SocketAttempt, connection: SearcherConnection
    ) -> None:
        attempt.close()
        self._connections.release(
            connection, may_keep=attempt.may_keep_connection
        )

    def _evaluate(
        self, outcome: AttemptResult, known_version: int, asked_at: float
    ) -> RelayResult | None:
        """Return what a VM's answer comes to, None to ask another VM."""
        if isinstance(outcome, Lost):
            # It may have reached as many searchers as its route allows.
            return RelayResult(None, may_have_run=True)
        if isinstance(outcome, Unsent) or self._is_declined(outcome):
            return None
        provenance = self._codec.provenance(outcome)
        version = self._codec.table_version(outcome)
        is_older = outcome.status == HTTP_NOT_FOUND and version < known_version
        is_of_vm = provenance.origin is not AnswerOrigin.SEARCHER
        if is_older and is_of_vm and not outcome.signature:
            if provenance.may_have_run:
                return RelayResult(None, may_have_run=True)
            return None
        if provenance.may_have_run and outcome.status in NOT_RUN_STATUSES:
            return RelayResult(None, may_have_run=True)
        self._learn(outcome, asked_at)
        self.note_version(version)
        return RelayResult(
            Answer(
                Verdict.RELAYED,
                outcome.status,
                outcome.body,
                outcome.reason,
                self._codec.caller_headers(outcome),
            )
        )

    def _is_declined(self, reply: Reply) -> bool:
        """Return whether a VM did not take a request, or could not read it."""
        is_unread = reply.status in UNREAD_STATUSES
        is_of_vm = self._codec.provenance(reply) == NOT_RUN_BY_VM
        return self._codec.is_not_taken(reply) or (is_unread and is_of_vm)

    def _learn(self, reply: Reply, asked_at: float) -> None:
        """Learn what the searcher says of itself in an answer."""
        process = self._codec.searcher_process(reply)
        if process is not None:
            self.record_announcements(process, reply, asked_at)


def _describe(outcome: AttemptResult) -> str:
    if isinstance(outcome, Reply):
        return 'not taken'
    return f'not relayed: {outcome.reason.value} {outcome.detail}'.rstrip()


def _always() -> bool:
    return True
