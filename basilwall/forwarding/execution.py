"""One request on its way: an attempt at each service, until it is settled.

The task of the caller's connection runs this straight down: it sends, waits
for the next reply or the next hedge, and returns as soon as nothing better
can come of waiting.
"""

from collections.abc import Sequence
from typing import Any

from basilwall.forwarding.completion import CompletionPolicy
from basilwall.forwarding.context import ForwardingContext, record_result
from basilwall.forwarding.reporting import Step, Trail
from basilwall.forwarding.retry_policy import RETRY_RESERVE_RATIO
from basilwall.forwarding.retry_rules import describe_result, rule_for
from basilwall.forwarding.subrequest import SubRequest
from basilwall.forwarding.transport import Attempt, AttemptWaiter
from basilwall.records.forwarding import (
    AttemptResult,
    Call,
    LossReason,
    Reply,
)
from basilwall.records.ids import SearcherId
from basilwall.records.routes import RetrySafety, Route
from basilwall.routing.searcher_stats import SearcherStats

#: Searchers of one service that may be passed over, nothing sent to them.
MAX_UNREACHABLE = 8
#: Nothing is sent that has less time than this, in seconds.
MIN_ATTEMPT_SECONDS = 0.005
NO_SEARCHER = SearcherId('')


class RequestExecution:
    """The attempts of one request; ends them all with `close`."""

    def __init__(
        self,
        call: Call,
        route: Route,
        subrequests: Sequence[SubRequest],
        context: ForwardingContext,
        waiter: AttemptWaiter[Any],
        trail: Trail,
    ) -> None:
        self.subrequests = subrequests
        self._trail = trail
        self._call = call
        self._route = route
        self._context = context
        self._waiter = waiter
        self._clock = context.clock
        self._hedge_delay = context.retry_policy.hedge_delay(route)
        self._may_hedge = route.retry_safety is RetrySafety.IDEMPOTENT
        self._subrequests_by_attempt: dict[Attempt, SubRequest] = {}
        self._deadline = min(
            call.expires_at,
            call.received_at + route.timeout,
        )

    def run(self, settling: CompletionPolicy) -> None:
        """Send to every service and wait until the request is settled.

        Args:
            settling: Says when nothing better can come of waiting.

        Raises:
            CallerLeftError: If the caller closed its connection.
        """
        for leg in self.subrequests:
            self._context.retry_policy.budget(leg.service).earn()
            self._send_or_end(leg)
        while not settling.is_complete(
            self.subrequests, self._clock.monotonic()
        ):
            now = self._clock.monotonic()
            hedges = [one.hedge_at for one in self.subrequests if one.is_open]
            wake_at = min(settling.next_check_at(now), *hedges)
            ended = False
            for attempt, outcome in self._waiter.wait(wake_at - now):
                self._handle_result(attempt, outcome)
                ended = True
            # Replies that are here but not read yet must not count as late.
            if not ended:
                self._hedge_late(self._clock.monotonic())

    def close(self, *, caller_left: bool) -> None:
        """End what is still in flight.

        Args:
            caller_left: Cut it off, so that its searchers stop work on it.
        """
        for attempt, leg in tuple(self._subrequests_by_attempt.items()):
            self._release(attempt, leg, cut=caller_left)

    def _send_or_end(self, leg: SubRequest) -> None:
        if not self._send(leg) and not leg.numbers_by_attempt:
            leg.has_ended = True

    def _send(self, leg: SubRequest) -> bool:
        """Send one attempt; False if there is no searcher or no time for it."""
        standing = self._pick(leg)
        if standing is None:
            return False
        searcher = standing.searcher
        transport = self._context.transport
        attempt = transport.prepare_attempt(
            self._call, searcher, self._deadline
        )
        self._trail.attempts += 1
        leg.sent_to.add(searcher.searcher_id)
        leg.numbers_by_attempt[attempt] = standing.record_sent()
        leg.hedge_at = self._hedge_time(standing, attempt)
        self._subrequests_by_attempt[attempt] = leg
        outcome = self._waiter.add(attempt)
        if outcome is not None:
            self._handle_result(attempt, outcome)
        return True

    def _pick(self, leg: SubRequest) -> SearcherStats | None:
        left = self._deadline - self._clock.monotonic()
        is_spent = len(leg.sent_to) >= self._route.max_attempts
        if left < MIN_ATTEMPT_SECONDS or is_spent:
            return None
        if len(leg.unreachable) >= MAX_UNREACHABLE:
            return None
        tried = leg.sent_to | leg.unreachable
        return self._context.selector.pick(leg.service, tried)

    def _hedge_time(self, standing: SearcherStats, attempt: Attempt) -> float:
        if not self._may_hedge:
            return self._deadline
        # The delay is learned from attempts on connections that were there.
        trips = 1 if attempt.is_connected else 2
        late_after = self._hedge_delay.delay + standing.round_trip * trips
        return self._clock.monotonic() + late_after

    def _hedge_late(self, now: float) -> None:
        late = [
            leg
            for leg in self.subrequests
            if leg.is_open and leg.hedge_at <= now
        ]
        for leg in late:
            leg.hedge_at = self._deadline
            if len(leg.sent_to) >= self._route.max_attempts:
                continue
            self._hedge_subrequest(leg)

    def _hedge_subrequest(self, leg: SubRequest) -> None:
        late = next(iter(leg.numbers_by_attempt), None)
        searcher = late.searcher.searcher_id if late else NO_SEARCHER
        budget = self._context.retry_policy.budget(leg.service)
        if self._pick(leg) is None:
            self._add_step(leg, searcher, 'late, no other searcher for a hedge')
        elif budget.spend(RETRY_RESERVE_RATIO) and self._send(leg):
            self._trail.hedges += 1
            self._add_step(leg, searcher, 'late, hedged')
        else:
            self._add_step(leg, searcher, 'late, no budget for a hedge')

    def _add_step(
        self, leg: SubRequest, searcher: SearcherId, what: str
    ) -> None:
        after = self._clock.monotonic() - self._call.received_at
        self._trail.add(Step(after, leg.service, searcher, what))

    def _handle_result(self, attempt: Attempt, outcome: AttemptResult) -> None:
        leg = self._subrequests_by_attempt[attempt]
        searcher = attempt.searcher
        self._context.crash_detector.note_outcome(self._call, searcher, outcome)
        record_result(self._context, self._hedge_delay, attempt, outcome)
        self._release(attempt, leg, has_ended=True)
        if leg.has_ended:
            return
        rule = rule_for(self._route.retry_safety, outcome)
        leg.may_have_run |= rule.may_have_run
        if isinstance(outcome, Reply) and outcome.is_success:
            self._succeed(leg, outcome)
            return
        leg.record_failure(outcome)
        self._add_step(leg, outcome.searcher, describe_result(outcome))
        if not rule.may_retry:
            leg.has_ended = True
        elif not leg.numbers_by_attempt:
            self._retry(leg, is_free=rule.is_budget_exempt)

    def _retry(self, leg: SubRequest, *, is_free: bool) -> None:
        budget = self._context.retry_policy.budget(leg.service)
        has_attempts = len(leg.sent_to) < self._route.max_attempts
        if is_free or (has_attempts and budget.spend()):
            self._send_or_end(leg)
        else:
            leg.has_ended = True

    def _succeed(self, leg: SubRequest, reply: Reply) -> None:
        leg.success = reply
        leg.has_ended = True
        for attempt in tuple(leg.numbers_by_attempt):
            self._release(attempt, leg)

    def _release(
        self,
        attempt: Attempt,
        leg: SubRequest,
        *,
        has_ended: bool = False,
        cut: bool = False,
    ) -> None:
        number = leg.numbers_by_attempt.pop(attempt)
        self._subrequests_by_attempt.pop(attempt)
        standing = self._context.selector.stats_of(attempt.searcher)
        transport = self._context.transport
        self._waiter.remove(attempt)
        if not has_ended and not cut:
            waited = self._clock.monotonic() - attempt.sent_at
            self._hedge_delay.observe(waited)
            transport.supersede(attempt, number)
            return
        if cut:
            attempt.cancel(LossReason.TIMEOUT)
        standing.record_ended(number)
        transport.release_connection(attempt)
