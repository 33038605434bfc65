"""Transport that delivers attempts to model searchers in virtual time."""

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

#: Time for which a searcher keeps an idle connection open.
IDLE_TIMEOUT_SECONDS = 4
#: Status of the reply, and whether the request has run.
REPLY_BY_OUTCOME = MappingProxyType(
    {
        JobOutcome.ANSWERED: (200, True),
        JobOutcome.FAILED: (500, True),
        JobOutcome.REFUSED: (503, False),
    }
)


class ModelConnection(PooledConnection):
    """A connection to a model searcher, connected at its first use."""

    def __init__(self, searcher: Searcher, time: VirtualTime) -> None:
        self.searcher = searcher
        self.usable_until = time.monotonic() + IDLE_TIMEOUT_SECONDS
        self.connect_seconds = None
        self.is_connected = False
        self.is_prepared = False

    def finish_connecting(self) -> None:
        """Record that the connection is established."""
        self.is_connected = True

    def has_input(self) -> bool:
        """Return False: model searchers send nothing but replies."""
        return False

    def close(self) -> None:
        """Do nothing; a cancelled attempt notifies its searcher itself."""


class ModelAttempt(Attempt, Job):
    """One attempt, which is also the job of its searcher.

    `is_over` is True once the result has arrived or the attempt was cancelled.
    `round_trip` is the round trip to the searcher, and `connect_seconds` the
    time to connect beside it, in seconds.
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
        #: Called once, when the result has arrived.
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
        """True once its connection is established."""
        return self.connection.is_connected

    def start(self) -> None:
        """Connect if necessary, and send the request."""
        if self.is_connected:
            self._send()
        else:
            self._time.call_later(
                self._round_trip + self._connect_seconds, self._finish_connect
            )

    def cancel(self, reason: LossReason) -> AttemptResult:
        """End the attempt; the searcher is notified half a round trip later."""
        self.is_over = True
        self.can_keep = False
        if not self.is_sent:
            return Unsent(self.searcher.searcher_id, reason)
        self._time.call_later(
            self._round_trip / 2, partial(self._model_searcher.cancel, self)
        )
        return Lost(self.searcher.searcher_id, reason)

    def finish(self, job_outcome: JobOutcome) -> None:
        """Send the result of the job back to the VM."""
        result = _attempt_result(self._model_searcher, job_outcome)
        self._time.call_later(
            self._round_trip / 2, partial(self._finish, result)
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

    def _finish(self, result: AttemptResult) -> None:
        if not self.is_over:
            self.is_over = True
            self.can_keep = isinstance(result, Reply)
            self.connection.usable_until = (
                self._time.monotonic() + IDLE_TIMEOUT_SECONDS
            )
            self.on_result(self, result)


class ModelAttemptWaiter(AttemptWaiter[ModelAttempt]):
    """The attempts that a request waits for; `task` runs the request."""

    def __init__(self, time: VirtualTime, task: Task) -> None:
        self._time = time
        self._task = task
        self._open: set[ModelAttempt] = set()
        self._ended: list[tuple[ModelAttempt, AttemptResult]] = []
        self._wait_number = 0
        self._is_waiting = False

    def add(self, attempt: ModelAttempt) -> None:
        """Start an attempt; `wait` yields its result."""
        self._open.add(attempt)
        attempt.on_result = self._add_result
        attempt.start()

    def remove(self, attempt: ModelAttempt) -> None:
        """Stop waiting for an attempt."""
        self._open.discard(attempt)

    def wait(
        self,
        seconds: float,
    ) -> Iterator[tuple[ModelAttempt, AttemptResult]]:
        """Wait for at most `seconds` for results, and yield them."""
        if not self._ended:
            self._wait_number += 1
            self._is_waiting = True
            self._time.call_later(
                max(seconds, 0), partial(self._wake, self._wait_number)
            )
            self._task.pause()
        ended, self._ended = self._ended, []
        for attempt, result in ended:
            if attempt in self._open:
                self._open.remove(attempt)
                yield attempt, result

    def _add_result(self, attempt: ModelAttempt, result: AttemptResult) -> None:
        self._ended.append((attempt, result))
        self._wake(self._wait_number)

    def _wake(self, wait_number: int) -> None:
        if self._is_waiting and wait_number == self._wait_number:
            self._is_waiting = False
            self._task.resume()


class ModelTransport(Transport[ModelAttempt]):
    """Creates the attempts of one VM and manages their connections."""

    def __init__(
        self,
        searchers: Mapping[SearcherId, ModelSearcher],
        selector: SearcherSelector,
        pools: ConnectionPools[ModelConnection],
        time: VirtualTime,
        connect_seconds: float,
    ) -> None:
        """Make a transport.

        Args:
            searchers: The model searchers by their id.
            selector: Selects searchers and keeps their statistics.
            pools: Connections to the searchers.
            time: Virtual time.
            connect_seconds: Time to connect beside the round trip.
        """
        #: Task of the next request; set before `Forwarder.serve` is called.
        self.task: Task | None = None
        self._searcher_by_id = searchers
        self._selector = selector
        self._pools = pools
        self._time = time
        self._connect_seconds = connect_seconds

    def make_waiter(self, caller: socket.socket | None) -> ModelAttemptWaiter:
        """Return the waiter of the request that `task` runs."""
        if self.task is None:
            raise RuntimeError(
                'ModelTransport.task must be set before a request starts'
            )
        return ModelAttemptWaiter(self._time, self.task)

    def prepare_attempt(
        self, call: Call, searcher: Searcher, deadline: float
    ) -> ModelAttempt:
        """Prepare an attempt; the body of the call is its service time."""
        return ModelAttempt(
            self._searcher_by_id[searcher.searcher_id],
            self._pools.checkout(searcher),
            self._time,
            float(call.body),
            self._selector.stats_of(searcher).round_trip,
            self._connect_seconds,
        )

    def prepare_connection(self, searcher: Searcher) -> None:
        """Begin to connect to a searcher that may get an attempt soon."""
        connection = self._pools.prepare(searcher)
        if connection is not None:
            round_trip = self._selector.stats_of(searcher).round_trip
            self._time.call_later(
                round_trip + self._connect_seconds, connection.finish_connecting
            )

    def release_connection(self, attempt: ModelAttempt) -> None:
        """Return the connection of an ended attempt to its pool or close it."""
        if attempt.can_keep:
            self._pools.check_in(attempt.connection)
        else:
            self._pools.discard(attempt.connection)

    def supersede(self, attempt: ModelAttempt, number: int) -> None:
        """Wait for a reply that its request no longer needs.

        After `SUPERSEDED_TIMEOUT_SECONDS` the attempt is cancelled.
        """
        if not attempt.is_sent:
            self._time_out(attempt, number)
            return
        attempt.on_result = partial(self._finish_superseded, number)
        overdue_at = attempt.sent_at + SUPERSEDED_TIMEOUT_SECONDS
        self._time.call_at(overdue_at, partial(self._time_out, attempt, number))

    def _finish_superseded(
        self, number: int, attempt: ModelAttempt, result: AttemptResult
    ) -> None:
        now = self._time.monotonic()
        record_superseded_result(self._selector, attempt, number, result, now)
        self.release_connection(attempt)

    def _time_out(self, attempt: ModelAttempt, number: int) -> None:
        if not attempt.is_over:
            result = attempt.cancel(LossReason.TIMEOUT)
            self._finish_superseded(number, attempt, result)


def _attempt_result(
    model_searcher: ModelSearcher, job_outcome: JobOutcome
) -> AttemptResult:
    """Return the result that the VM gets for the outcome of a job."""
    searcher = model_searcher.searcher.searcher_id
    if job_outcome is JobOutcome.CONNECTION_CLOSED:
        return Lost(searcher, LossReason.CUT)
    status, has_run = REPLY_BY_OUTCOME[job_outcome]
    return Reply(
        searcher,
        status,
        b'',
        (),
        b'',
        b'signed',
        has_run,
        rate_limit=model_searcher.rate_limit,
    )


def _ignore_result(attempt: ModelAttempt, result: AttemptResult) -> None:
    """Default of `ModelAttempt.on_result` until a waiter is set."""
