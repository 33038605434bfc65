"""Dispatches an order to searchers so that it runs at most once.

Another searcher is tried only if the outcome of an attempt proves that the
order did not run. Nothing is sent if the process was paused for too long
between the decision to send and the first byte, because the decision may rest
on outdated state.
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

#: Longest time between the decision to send and the first byte.
MAX_PAUSE_SECONDS = 1.0
#: Attempts at one order; a further one needs proof that the last did not run.
MAX_ATTEMPTS = 4
#: How long to wait for the outcome of a cancelled attempt.
CANCEL_GRACE_SECONDS = 0.1
_HEXADECIMAL_BASE = 16

_REASON_BY_TAG = {
    OutcomeTag.SHED: OrderReason.OVERLOADED,
    OutcomeTag.NOT_SENT: OrderReason.NO_SEARCHER,
}


@dataclass(frozen=True, slots=True)
class Order:
    """One order that this VM may dispatch.

    `deadline` is in monotonic seconds, `ticket_expires_at` in seconds of the
    wall clock. The fingerprint selects the part of the snapshot that runs it.
    """

    request_id: RequestId
    service: ServiceName
    body: bytes
    deadline: float
    ticket_expires_at: float
    fingerprint: Fingerprint


@dataclass(slots=True)
class _AttemptHistory:
    """The attempts at one order so far."""

    tried_searchers: set[SearcherAddress] = field(default_factory=set)
    last_not_run: NotRun | None = None
    not_sent_reason: OrderReason | None = None


@dataclass(frozen=True, slots=True)
class _ClockReadings:
    """Both clocks at one moment; the monotonic one may stop on suspend."""

    monotonic: float
    wall: float


def _always_fresh() -> bool:
    return True


class OrderDispatcher:
    """Sends orders whose tickets this incarnation issued.

    `is_fresh` returns whether the fleet list and the configuration were read
    again since the process was last paused.
    """

    def __init__(
        self,
        state: PlatformState,
        pools: SearcherPools,
        crash_tracker: CrashTracker,
        attempt_ids: AttemptIds,
        clock: Clock,
        is_fresh: Callable[[], bool] = _always_fresh,
    ) -> None:
        self._state = state
        self._pools = pools
        self._crash_tracker = crash_tracker
        self._attempt_ids = attempt_ids
        self._clock = clock
        self._is_fresh = is_fresh

    def dispatch(self, order: Order) -> OrderOutcome:
        """Send an order until it ran, may have run, or no searcher is left.

        Args:
            order: An order whose ticket was claimed for the first time.

        Returns:
            The outcome, never UNKNOWN if no byte was sent.
        """
        snapshot = self._newest_snapshot(order)
        if snapshot is None or not snapshot.parts:
            return _not_run(OrderReason.NO_SEARCHER)
        content = Content(order.service, order.fingerprint)
        if self._crash_tracker.suspicion_of(content) in REFUSED_SUSPICIONS:
            retry_after_ms = self._crash_tracker.retry_after_ms(content)
            return _not_run(OrderReason.QUARANTINED, retry_after_ms)
        fingerprint_number = int(order.fingerprint, _HEXADECIMAL_BASE)
        part = snapshot.parts[fingerprint_number % len(snapshot.parts)]
        history = _AttemptHistory(self._excluded_searchers(content, part))
        for _ in range(MAX_ATTEMPTS):
            outcome = self._send_attempt(order, snapshot, part, history)
            if outcome is not None:
                return outcome
        return _not_run_after(history.last_not_run)

    def _excluded_searchers(
        self,
        content: Content,
        part: Part,
    ) -> set[SearcherAddress]:
        """Return the searchers lost with this content, or none if all were."""
        lost_searchers = self._crash_tracker.struck_searchers(content)
        return lost_searchers if set(part.searchers) - lost_searchers else set()

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
        history: _AttemptHistory,
    ) -> OrderOutcome | None:
        decided_at = _ClockReadings(self._clock.monotonic(), self._clock.wall())
        pool = self._pools.pick(part, history.tried_searchers)
        if pool is None:
            return _not_run_after(history.last_not_run)
        history.tried_searchers.add(pool.address)
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
        outcome_future: Future[AttemptOutcome] = Future()
        job = AttemptJob(
            request,
            lambda _, outcome: outcome_future.set_result(outcome),
            may_send=lambda: self._may_send(order, decided_at, history),
        )
        pool.submit(job)
        outcome = self._wait_for_outcome(outcome_future, job)
        content = Content(order.service, order.fingerprint)
        self._crash_tracker.note_outcome(content, part, job, outcome)
        return _final_outcome(outcome, history)

    def _may_send(
        self,
        order: Order,
        decided_at: _ClockReadings,
        history: _AttemptHistory,
    ) -> bool:
        now = _ClockReadings(self._clock.monotonic(), self._clock.wall())
        history.not_sent_reason = _reason_not_to_send(order, decided_at, now)
        if not self._is_fresh():
            history.not_sent_reason = OrderReason.PAUSED
        return history.not_sent_reason is None

    def _wait_for_outcome(
        self,
        outcome_future: Future[AttemptOutcome],
        job: AttemptJob,
    ) -> AttemptOutcome:
        time_left = job.request.deadline - self._clock.monotonic()
        try:
            return outcome_future.result(timeout=max(time_left, 0))
        except FutureTimeoutError:
            job.cancel()
        try:
            return outcome_future.result(timeout=CANCEL_GRACE_SECONDS)
        except FutureTimeoutError:
            return MayHaveRun(
                job.searcher or SearcherAddress(''),
                OutcomeTag.LATE,
            )


def _final_outcome(
    outcome: AttemptOutcome, history: _AttemptHistory
) -> OrderOutcome | None:
    """Return the outcome of an order, or None to try another searcher."""
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
    if history.not_sent_reason is not None:
        return _not_run(history.not_sent_reason)
    history.last_not_run = outcome
    rule = RULE_BY_KIND_AND_TAG[RequestKind.NON_IDEMPOTENT, outcome.tag]
    return None if rule.may_retry else _not_run_after(outcome)


def _reason_not_to_send(
    order: Order,
    decided_at: _ClockReadings,
    now: _ClockReadings,
) -> OrderReason | None:
    """Return why an order must no longer be sent, or None."""
    paused_seconds = max(
        now.monotonic - decided_at.monotonic, now.wall - decided_at.wall
    )
    if paused_seconds > MAX_PAUSE_SECONDS:
        return OrderReason.PAUSED
    if now.monotonic >= order.deadline or now.wall >= order.ticket_expires_at:
        return OrderReason.EXPIRED
    return None


def _not_run_after(last: NotRun | None) -> OrderOutcome:
    """Return NOT_RUN with the reason of the last attempt."""
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
