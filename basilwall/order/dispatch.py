"""Dispatch one order to one searcher, once.

Another searcher is tried only when the outcome proves that the order did not
run. A process that slept too long between its decision and the first byte
does not send: what it knew before is old.
"""

from collections.abc import Callable
from concurrent.futures import Future
from concurrent.futures import TimeoutError as FutureTimeoutError
from dataclasses import dataclass, field

from basilwall.backend.crash_tracker import (
    REFUSED_SUSPICIONS,
    Content,
    CrashTracker,
)
from basilwall.backend.pool import AttemptJob
from basilwall.backend.pools import SearcherPools
from basilwall.backend.rules import RULE_BY_KIND_AND_TAG
from basilwall.configuration.state import PlatformState
from basilwall.parts.attempt_ids import AttemptIds
from basilwall.parts.clock import Clock
from basilwall.records.attempt import (
    Answered,
    AttemptOutcome,
    AttemptRequest,
    MayHaveRun,
    NotRun,
    OutcomeTag,
    RequestKind,
)
from basilwall.records.catalogue import Part, Snapshot
from basilwall.records.ids import (
    Fingerprint,
    RequestId,
    SearcherAddress,
    ServiceName,
)
from basilwall.records.order import OrderOutcome, OrderReason, OrderState

#: Longest time between the decision to send and the first byte, in seconds.
MAX_PAUSE_SECONDS = 1.0
#: How often one order may be sent after proofs that it did not run.
MAX_ATTEMPTS = 4
#: Time for the outcome of an attempt that was given up on, in seconds.
CANCEL_GRACE = 0.1
_HEXADECIMAL_BASE = 16

_REASON_BY_TAG = {
    OutcomeTag.SHED: OrderReason.OVERLOADED,
    OutcomeTag.NOT_SENT: OrderReason.NO_SEARCHER,
}


@dataclass(frozen=True, slots=True)
class Order:
    """One order that this VM may dispatch.

    `deadline` is in monotonic seconds, `ticket_expires_at` in seconds of the
    wall clock; the fingerprint picks the part that runs it.
    """

    request_id: RequestId
    service: ServiceName
    body: bytes
    deadline: float
    ticket_expires_at: float
    fingerprint: Fingerprint


@dataclass(slots=True)
class _AttemptHistory:
    """The searchers that an order was offered to."""

    tried_searchers: set[SearcherAddress] = field(default_factory=set)
    last_not_run: NotRun | None = None
    not_sent_reason: OrderReason | None = None


@dataclass(frozen=True, slots=True)
class _ClockReadings:
    """One moment on both clocks: a suspended machine stops the monotonic."""

    monotonic: float
    wall: float


def _always_fresh() -> bool:
    return True


class OrderDispatcher:
    """Sends orders on behalf of the tickets of this incarnation.

    `is_fresh` says whether lists and revisions were read since the last pause.
    """

    def __init__(
        self,
        state: PlatformState,
        pools: SearcherPools,
        suspects: CrashTracker,
        attempt_ids: AttemptIds,
        clock: Clock,
        is_fresh: Callable[[], bool] = _always_fresh,
    ) -> None:
        self._state = state
        self._pools = pools
        self._suspects = suspects
        self._attempt_ids = attempt_ids
        self._clock = clock
        self._is_fresh = is_fresh

    def dispatch(self, order: Order) -> OrderOutcome:
        """Send an order until it ran, may have run, or nobody takes it.

        Args:
            order: An order whose ticket was claimed for the first time.

        Returns:
            The outcome, never UNKNOWN if no byte was sent.
        """
        snapshot = self._newest_snapshot(order)
        if snapshot is None or not snapshot.parts:
            return _not_run(OrderReason.NO_SEARCHER)
        content = Content(order.service, order.fingerprint)
        if self._suspects.suspicion_of(content) in REFUSED_SUSPICIONS:
            retry_after_ms = self._suspects.retry_after_ms(content)
            return _not_run(OrderReason.QUARANTINED, retry_after_ms)
        place = int(order.fingerprint, _HEXADECIMAL_BASE)
        part = snapshot.parts[place % len(snapshot.parts)]
        sends = _AttemptHistory(self._excluded_searchers(content, part))
        for _ in range(MAX_ATTEMPTS):
            outcome = self._send_attempt(order, snapshot, part, sends)
            if outcome is not None:
                return outcome
        return _not_run_after(sends.last_not_run)

    def _excluded_searchers(
        self,
        content: Content,
        part: Part,
    ) -> set[SearcherAddress]:
        """Return the searchers lost under the content, unless all were."""
        struck = self._suspects.struck_searchers(content)
        return struck if set(part.searchers) - struck else set()

    def _newest_snapshot(self, order: Order) -> Snapshot | None:
        catalogue = self._state.catalogue_by_service.get(order.service)
        if catalogue is None or not catalogue.snapshots:
            return None
        return catalogue.snapshots[0]

    def _send_attempt(
        self,
        order: Order,
        snapshot: Snapshot,
        part: Part,
        sends: _AttemptHistory,
    ) -> OrderOutcome | None:
        decided = _ClockReadings(self._clock.monotonic(), self._clock.wall())
        pool = self._pools.pick(part, sends.tried_searchers)
        if pool is None:
            return _not_run_after(sends.last_not_run)
        sends.tried_searchers.add(pool.address)
        request = AttemptRequest(
            service=order.service,
            instance=part.instance,
            kind=RequestKind.NON_IDEMPOTENT,
            request_id=order.request_id,
            attempt_id=self._attempt_ids.next(),
            snapshot=snapshot.snapshot_id,
            body=order.body,
            deadline=order.deadline,
        )
        arrived: Future[AttemptOutcome] = Future()
        job = AttemptJob(
            request,
            lambda _, outcome: arrived.set_result(outcome),
            may_send=lambda: self._may_send(order, decided, sends),
        )
        pool.submit(job)
        outcome = self._wait_for_outcome(arrived, job)
        content = Content(order.service, order.fingerprint)
        self._suspects.note_outcome(content, part, job, outcome)
        return _final_outcome(outcome, sends)

    def _may_send(
        self,
        order: Order,
        decided: _ClockReadings,
        sends: _AttemptHistory,
    ) -> bool:
        now = _ClockReadings(self._clock.monotonic(), self._clock.wall())
        sends.not_sent_reason = _reason_not_to_send(order, decided, now)
        if not self._is_fresh():
            sends.not_sent_reason = OrderReason.PAUSED
        return sends.not_sent_reason is None

    def _wait_for_outcome(
        self,
        arrived: Future[AttemptOutcome],
        job: AttemptJob,
    ) -> AttemptOutcome:
        left = job.request.deadline - self._clock.monotonic()
        try:
            return arrived.result(timeout=max(left, 0))
        except FutureTimeoutError:
            job.cancel()
        try:
            return arrived.result(timeout=CANCEL_GRACE)
        except FutureTimeoutError:
            return MayHaveRun(
                job.searcher or SearcherAddress(''),
                OutcomeTag.LATE,
            )


def _final_outcome(
    outcome: AttemptOutcome, sends: _AttemptHistory
) -> OrderOutcome | None:
    if isinstance(outcome, Answered):
        return OrderOutcome(
            OrderState.RAN,
            OrderReason.ANSWERED,
            outcome.records,
        )
    if isinstance(outcome, MayHaveRun):
        return OrderOutcome(
            OrderState.UNKNOWN,
            OrderReason.REPLY_LOST,
        )
    if sends.not_sent_reason is not None:
        return _not_run(sends.not_sent_reason)
    sends.last_not_run = outcome
    rule = RULE_BY_KIND_AND_TAG[RequestKind.NON_IDEMPOTENT, outcome.tag]
    return None if rule.may_retry else _not_run_after(outcome)


def _reason_not_to_send(
    order: Order,
    decided: _ClockReadings,
    now: _ClockReadings,
) -> OrderReason | None:
    slept = max(now.monotonic - decided.monotonic, now.wall - decided.wall)
    if slept > MAX_PAUSE_SECONDS:
        return OrderReason.PAUSED
    if now.monotonic >= order.deadline or now.wall >= order.ticket_expires_at:
        return OrderReason.EXPIRED
    return None


def _not_run_after(last: NotRun | None) -> OrderOutcome:
    if last is None:
        return _not_run(OrderReason.NO_SEARCHER)
    reason = _REASON_BY_TAG.get(last.tag, OrderReason.NO_SEARCHER)
    return _not_run(reason, last.retry_after_ms)


def _not_run(
    reason: OrderReason,
    retry_after_ms: int = 0,
) -> OrderOutcome:
    return OrderOutcome(
        OrderState.NOT_RUN,
        reason,
        retry_after_ms=retry_after_ms,
    )
