"""Carries attempts to model searchers, in virtual time."""

import socket
from collections.abc import Callable, Iterator, Mapping
from functools import partial
from types import MappingProxyType

from basilwall.forwarding.connection_pools import (
    ConnectionPools,
    PooledConnection,
)
from basilwall.forwarding.superseded import (
    SUPERSEDED_TIMEOUT_SECONDS,
    record_superseded_result,
)
from basilwall.forwarding.transport import Attempt, AttemptWaiter, Transport
from basilwall.records.forwarding import (
    AttemptResult,
    Call,
    LossReason,
    Lost,
    Reply,
    Unsent,
)
from basilwall.records.ids import SearcherId
from basilwall.records.searcher import Searcher
from basilwall.routing.selection import SearcherSelector
from basilwall.simulation.searchers import Job, JobOutcome, ModelSearcher
from basilwall.simulation.virtual_time import Task, VirtualTime

#: How long a searcher keeps an idle connection, in seconds.
IDLE_TIMEOUT_SECONDS = 4
#: Status of a reply, and whether the request has run.
REPLY_BY_OUTCOME = MappingProxyType(
    {
        JobOutcome.ANSWERED: (200, True),
        JobOutcome.FAILED: (500, True),
        JobOutcome.REFUSED: (503, False),
    }
)


class ModelConnection(PooledConnection):
    """A connection that is there as soon as it was once used."""

    def __init__(self, searcher: Searcher, time: VirtualTime) -> None:
        self.searcher = searcher
        self.usable_until = time.monotonic() + IDLE_TIMEOUT_SECONDS
        self.connect_seconds = None
        self.is_connected = False

    def has_input(self) -> bool:
        """Return False: the model's searchers send nothing unasked."""
        return False

    def close(self) -> None:
        """Do nothing; an attempt that is given up tells its searcher."""


class ModelAttempt(Attempt, Job):
    """One attempt, and the job that its searcher makes of it.

    `is_over` is True once the result has come back or was given up. `trip` is
    the round trip to the searcher and `connect` what a connection takes beside
    it, in seconds.
    """

    def __init__(
        self,
        model_searcher: ModelSearcher,
        connection: ModelConnection,
        time: VirtualTime,
        service_time: float,
        round_trip: float,
        connect_seconds: float,
    ) -> None:
        self.searcher = model_searcher.searcher
        self.connection = connection
        self.sent_at = time.monotonic()
        self.is_sent = False
        self.can_keep = False
        self.service_time = service_time
        #: Told the result, once, when it has come back.
        self.on_result: Callable[[ModelAttempt, AttemptResult], None] = (
            _ignore_result
        )
        self._model_searcher = model_searcher
        self._time = time
        self._round_trip = round_trip
        self._connect_seconds = connect_seconds
        self.is_over = False

    @property
    def is_connected(self) -> bool:
        """True once there is a connection to send it on."""
        return self.connection.is_connected

    def start(self) -> None:
        """Connect if need be, and send."""
        if self.is_connected:
            self._send()
        else:
            self._time.call_later(
                self._round_trip + self._connect_seconds, self._finish_connect
            )

    def cancel(self, reason: LossReason) -> AttemptResult:
        """End the attempt; its searcher learns of it half a trip later."""
        self.is_over = True
        self.can_keep = False
        if not self.is_sent:
            return Unsent(self.searcher.searcher_id, reason)
        self._time.call_later(
            self._round_trip / 2, partial(self._model_searcher.cancel, self)
        )
        return Lost(self.searcher.searcher_id, reason)

    def finish(self, job_outcome: JobOutcome) -> None:
        """Send back what became of the job."""
        outcome = _attempt_result(self.searcher.searcher_id, job_outcome)
        self._time.call_later(
            self._round_trip / 2, partial(self._finish, outcome)
        )

    def _finish_connect(self) -> None:
        if not self.is_over:
            self._send_if_up()

    def _send_if_up(self) -> None:
        if self._model_searcher.is_down:
            self._finish(
                Unsent(self.searcher.searcher_id, LossReason.NOT_CONNECTED)
            )
        else:
            self.connection.is_connected = True
            self._send()

    def _send(self) -> None:
        self.is_sent = True
        self.sent_at = self._time.monotonic()
        self._time.call_later(
            self._round_trip / 2, partial(self._model_searcher.receive, self)
        )

    def _finish(self, outcome: AttemptResult) -> None:
        if not self.is_over:
            self.is_over = True
            self.can_keep = isinstance(outcome, Reply)
            self.connection.usable_until = (
                self._time.monotonic() + IDLE_TIMEOUT_SECONDS
            )
            self.on_result(self, outcome)


class ModelAttemptWaiter(AttemptWaiter[ModelAttempt]):
    """The attempts that one request waits on; `task` runs the request."""

    def __init__(self, time: VirtualTime, task: Task) -> None:
        self._time = time
        self._task = task
        self._open: set[ModelAttempt] = set()
        self._ended: list[tuple[ModelAttempt, AttemptResult]] = []
        self._wait_number = 0
        self._is_waiting = False

    def add(self, attempt: ModelAttempt) -> None:
        """Start an attempt; its result comes later."""
        self._open.add(attempt)
        attempt.on_result = self._add_result
        attempt.start()

    def remove(self, attempt: ModelAttempt) -> None:
        """Wait for an attempt no more."""
        self._open.discard(attempt)

    def wait(
        self,
        seconds: float,
    ) -> Iterator[tuple[ModelAttempt, AttemptResult]]:
        """Wait for results, `seconds` at most, and yield them."""
        if not self._ended:
            self._wait_number += 1
            self._is_waiting = True
            self._time.call_later(
                max(seconds, 0), partial(self._wake, self._wait_number)
            )
            self._task.pause()
        ended, self._ended = self._ended, []
        for attempt, outcome in ended:
            if attempt in self._open:
                self._open.remove(attempt)
                yield attempt, outcome

    def _add_result(
        self, attempt: ModelAttempt, outcome: AttemptResult
    ) -> None:
        self._ended.append((attempt, outcome))
        self._wake(self._wait_number)

    def _wake(self, wait_number: int) -> None:
        if self._is_waiting and wait_number == self._wait_number:
            self._is_waiting = False
            self._task.resume()


class ModelTransport(Transport[ModelAttempt]):
    """The attempts of one VM."""

    def __init__(
        self,
        searchers: Mapping[SearcherId, ModelSearcher],
        selector: SearcherSelector,
        pools: ConnectionPools[ModelConnection],
        time: VirtualTime,
        connect: float,
    ) -> None:
        """Make a transport; a connection takes `connect` seconds to make."""
        #: The task of the request that begins next.
        self.task: Task | None = None
        self._searcher_by_id = searchers
        self._selector = selector
        self._pools = pools
        self._time = time
        self._connect_seconds = connect

    def make_waiter(self, caller: socket.socket | None) -> ModelAttemptWaiter:
        """Return what the request of the current task waits with."""
        if self.task is None:
            raise RuntimeError('no task was given')
        return ModelAttemptWaiter(self._time, self.task)

    def prepare_attempt(
        self, call: Call, searcher: Searcher, deadline: float
    ) -> ModelAttempt:
        """Prepare an attempt; the body of the call says its work time."""
        return ModelAttempt(
            self._searcher_by_id[searcher.searcher_id],
            self._pools.checkout(searcher),
            self._time,
            float(call.body),
            self._selector.stats_of(searcher).round_trip,
            self._connect_seconds,
        )

    def release_connection(self, attempt: ModelAttempt) -> None:
        """Keep the connection of an attempt that ended, if it can be kept."""
        if attempt.can_keep:
            self._pools.check_in(attempt.connection)
        else:
            self._pools.discard(attempt.connection)

    def supersede(self, attempt: ModelAttempt, number: int) -> None:
        """Wait a little for a reply that the request needs no more."""
        if not attempt.is_sent:
            self._time_out(attempt, number)
            return
        attempt.on_result = partial(self._finish_superseded, number)
        overdue_at = attempt.sent_at + SUPERSEDED_TIMEOUT_SECONDS
        self._time.call_at(overdue_at, partial(self._time_out, attempt, number))

    def _finish_superseded(
        self, number: int, attempt: ModelAttempt, outcome: AttemptResult
    ) -> None:
        now = self._time.monotonic()
        record_superseded_result(self._selector, attempt, number, outcome, now)
        self.release_connection(attempt)

    def _time_out(self, attempt: ModelAttempt, number: int) -> None:
        if not attempt.is_over:
            outcome = attempt.cancel(LossReason.TIMEOUT)
            self._finish_superseded(number, attempt, outcome)


def _attempt_result(
    searcher: SearcherId, job_outcome: JobOutcome
) -> AttemptResult:
    """Return what a VM is told of the end of a job."""
    if job_outcome is JobOutcome.CONNECTION_CLOSED:
        return Lost(searcher, LossReason.CUT)
    status, has_run = REPLY_BY_OUTCOME[job_outcome]
    return Reply(searcher, status, b'', (), b'', b'signed', has_run, False)


def _ignore_result(attempt: ModelAttempt, outcome: AttemptResult) -> None:
    """Stand in until somebody waits for the attempt."""
