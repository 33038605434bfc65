"""Pool of this VM's connections to one searcher, with a task for each.

The connection limit of a searcher applies to all VMs together, so a VM opens
only its share. Connecting takes up to 6 ms, so each task opens its connection
before it is needed.
"""

import logging
import queue
import threading
from collections.abc import Callable
from dataclasses import dataclass, field

from basilwall.backend.connection import ConnectError, SearcherConnection
from basilwall.parts.clock import Clock
from basilwall.parts.leaving_searchers import LeavingSearchers
from basilwall.parts.replica_choice import LatencyEstimate
from basilwall.parts.tasks import TaskGroup
from basilwall.records.attempt import (
    Answered,
    AttemptOutcome,
    AttemptRequest,
    MayHaveRun,
    NotRun,
    OutcomeTag,
)
from basilwall.records.ids import SearcherAddress

CONNECT_TIMEOUT_SECONDS = 0.5
#: After a failed connect the searcher counts as unreachable for this long.
INITIAL_BACKOFF_SECONDS = 0.1
MAX_BACKOFF_SECONDS = 3.0

_log = logging.getLogger(__name__)


def _always() -> bool:
    return True


@dataclass(slots=True, eq=False)
class AttemptJob:
    """One attempt in a pool, with its state.

    `deliver` is called exactly once with the outcome, usually on the task of
    a connection. `may_send` is called right before the first byte is sent and
    can still prevent that. `queued_at`, `sent_at` and `ended_at` are monotonic
    seconds, 0 until they are set.
    """

    request: AttemptRequest
    deliver: Callable[['AttemptJob', AttemptOutcome], None]
    searcher: SearcherAddress | None = None
    may_send: Callable[[], bool] = _always
    is_cancelled: bool = False
    queued_at: float = 0
    sent_at: float = 0
    ended_at: float = 0
    connection: SearcherConnection | None = field(default=None, repr=False)

    def cancel(self) -> None:
        """Cancel the attempt; its outcome is still delivered."""
        self.is_cancelled = True
        connection = self.connection
        if connection is not None:
            connection.abort(self.request)


class SearcherPool:
    """Connections to one searcher; `connections` is this VM's share."""

    def __init__(
        self,
        address: SearcherAddress,
        connections: int,
        clock: Clock,
        leaving_searchers: LeavingSearchers,
    ) -> None:
        self.address = address
        self.connections = connections
        self.in_flight = 0
        self._clock = clock
        self._leaving_searchers = leaving_searchers
        self.estimate = LatencyEstimate(clock)
        self._backoff = INITIAL_BACKOFF_SECONDS
        self._unreachable_until = clock.monotonic()
        self._jobs: queue.SimpleQueue[AttemptJob | None] = queue.SimpleQueue()
        self._lock = threading.Lock()
        self._is_closed = False

    @property
    def is_reachable(self) -> bool:
        """Whether no backoff is running after a failed connect."""
        return self._unreachable_until <= self._clock.monotonic()

    def start(self, tasks: TaskGroup) -> None:
        """Start one task for each connection."""
        for _ in range(self.connections):
            tasks.start(self._serve)

    def submit(self, job: AttemptJob) -> None:
        """Queue an attempt for the next free connection."""
        job.searcher = self.address
        job.queued_at = self._clock.monotonic()
        with self._lock:
            self.in_flight += 1
            is_closed = self._is_closed
            if not is_closed:
                self._jobs.put(job)
        if is_closed:
            self._end(
                job, NotRun(self.address, OutcomeTag.NOT_SENT, 'pool is closed')
            )

    def close(self) -> None:
        """End the tasks after the queued attempts have ended."""
        with self._lock:
            self._is_closed = True
            for _ in range(self.connections):
                self._jobs.put(None)

    def _serve(self) -> None:
        connection = SearcherConnection(self.address)
        self._preconnect(connection)
        while True:
            job = self._jobs.get()
            if job is None:
                connection.close()
                return
            self._end(job, self._run_safely(connection, job))
            if not connection.is_open and not self._is_closed:
                self._preconnect(connection)

    def _preconnect(self, connection: SearcherConnection) -> None:
        try:
            connection.open(CONNECT_TIMEOUT_SECONDS)
        except ConnectError:
            self._note_unreachable()

    def _run_safely(
        self,
        connection: SearcherConnection,
        job: AttemptJob,
    ) -> AttemptOutcome:
        """Run an attempt; an unforeseen error ends it, not this task."""
        try:
            return self._run(connection, job)
        except Exception as error:
            _log.exception('attempt failed', extra={'searcher': self.address})
            connection.close()
            return MayHaveRun(self.address, OutcomeTag.LOST, repr(error))

    def _run(
        self,
        connection: SearcherConnection,
        job: AttemptJob,
    ) -> AttemptOutcome:
        seconds_left = job.request.deadline - self._clock.monotonic()
        if job.is_cancelled or seconds_left <= 0:
            return NotRun(
                self.address,
                OutcomeTag.NOT_SENT,
                'cancelled or past its deadline',
            )
        try:
            connection.open(min(seconds_left, CONNECT_TIMEOUT_SECONDS))
        except ConnectError as error:
            self._note_unreachable()
            return NotRun(self.address, OutcomeTag.NOT_SENT, str(error))
        if self._leaving_searchers.is_leaving(self.address):
            return NotRun(self.address, OutcomeTag.NOT_SENT, 'leaving')
        job.sent_at = self._clock.monotonic()
        outcome = self._send(connection, job)
        self._note_leaving(outcome)
        self._note_latency(job, outcome)
        return outcome

    def _send(
        self,
        connection: SearcherConnection,
        job: AttemptJob,
    ) -> AttemptOutcome:
        connection.begin_attempt(job.request)
        job.connection = connection
        try:
            if job.is_cancelled or not job.may_send():
                return NotRun(
                    self.address, OutcomeTag.NOT_SENT, 'withheld before sending'
                )
            return connection.exchange(
                job.request,
                job.request.deadline - job.sent_at,
            )
        finally:
            connection.end_attempt()
            job.connection = None

    def _note_leaving(self, outcome: AttemptOutcome) -> None:
        has_leaving_notice = (
            isinstance(outcome, Answered) and outcome.is_leaving
        )
        if has_leaving_notice or outcome.tag is OutcomeTag.LEAVING:
            self._leaving_searchers.report_leaving(self.address)

    def _note_latency(self, job: AttemptJob, outcome: AttemptOutcome) -> None:
        latency = self._clock.monotonic() - job.sent_at
        if isinstance(outcome, Answered) and not job.is_cancelled:
            self._backoff = INITIAL_BACKOFF_SECONDS
            self.estimate.record_answer(latency)
        else:
            self.estimate.record_timeout(latency)

    def _note_unreachable(self) -> None:
        now = self._clock.monotonic()
        if now < self._unreachable_until:
            return
        self.estimate.start_cold()
        self._unreachable_until = now + self._backoff
        self._backoff = min(self._backoff * 2, MAX_BACKOFF_SECONDS)

    def _end(self, job: AttemptJob, outcome: AttemptOutcome) -> None:
        job.ended_at = self._clock.monotonic()
        with self._lock:
            self.in_flight -= 1
        try:
            job.deliver(job, outcome)
        except Exception:
            _log.exception(
                'outcome not delivered', extra={'searcher': self.address}
            )
