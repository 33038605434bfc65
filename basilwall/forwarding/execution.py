"""Runs the attempts of one request: first attempts, hedges and retries.

The thread of the caller's connection runs a loop: it sends an attempt to each
service, waits for the next result or the next hedge, and returns as soon as
the completion policy says that the request stops waiting.
"""

from collections.abc import Sequence
from functools import partial
from typing import Any

from basilwall.forwarding.completion import CompletionPolicy
from basilwall.forwarding.content_trial import ContentTrial, FirstAttempts
from basilwall.forwarding.context import ForwardingContext, record_result
from basilwall.forwarding.extra_attempt_canary import (
    NO_SEARCHER,
    ExtraAttemptCanary,
    retry_nothing,
)
from basilwall.forwarding.hedge_preparation import (
    PREPARATION_RATIO,
    prepare_hedges,
)
from basilwall.forwarding.reporting import Step, Trail
from basilwall.forwarding.retry_policy import RETRY_RESERVE_RATIO
from basilwall.forwarding.retry_rules import (
    RULES_BY_RETRY_SAFETY,
    ResultKind,
    RetryRule,
    describe_result,
    rule_for,
)
from basilwall.forwarding.subrequest import SubRequest
from basilwall.forwarding.transport import Attempt, AttemptWaiter
from basilwall.parts.clock import Clock
from basilwall.parts.hedge import HedgeDelay
from basilwall.records.forwarding import (
    AttemptResult,
    Call,
    LossReason,
    Lost,
    Reply,
)
from basilwall.records.ids import SearcherId
from basilwall.records.routes import RetrySafety, Route
from basilwall.routing.searcher_stats import SearcherStats

#: Searchers of one service that may be tried without reaching them.
MAX_UNREACHABLE = 8
#: An attempt with less time left until the deadline is not sent.
MIN_ATTEMPT_SECONDS = 0.005


class RequestExecution:
    """The attempts of one request; `close` ends those in flight."""

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
        self._is_quarantined = partial(
            context.crash_detector.is_quarantined, call
        )
        self._add_step = partial(_add_step, trail, call, context.clock)
        self._is_suspected = partial(context.crash_detector.is_suspected, call)
        self._may_hedge = route.retry_safety is RetrySafety.IDEMPOTENT
        self._in_flight: dict[Attempt, tuple[SubRequest, SearcherStats]] = {}
        self._first_choices: Sequence[SearcherStats | None] = ()
        lost_rule = RULES_BY_RETRY_SAFETY[route.retry_safety][ResultKind.LOST]
        self._canary = ExtraAttemptCanary(
            partial(self._retry, rule=lost_rule),
            self._in_flight,
            partial(context.crash_detector.least_struck, call),
            self._add_step,
            context.clock,
            is_scattered=len(subrequests) > 1,
        )
        self._max_attempts = route.max_attempts
        if call.max_attempts is not None:
            self._max_attempts = min(route.max_attempts, call.max_attempts)
        self._deadline = min(
            call.expires_at,
            call.received_at + route.timeout,
            context.stops_at(),
        )

    def admit(self, needed: int) -> bool:
        """Choose the searchers of the first attempts.

        Args:
            needed: How many services must have one.

        Returns:
            False if fewer have one; then nothing is sent.
        """
        services = [subrequest.service for subrequest in self.subrequests]
        choices = self._context.selector.pick_each(services, needed)
        self._first_choices = choices
        return bool(choices)

    def run(self, completion: CompletionPolicy) -> None:
        """Send to every service and wait until the request is complete.

        It also ends if this VM loses its links to all searchers, or when a
        planned stop gives its last answers.

        Args:
            completion: Decides when the request stops waiting.

        Raises:
            CallerLeftError: If the caller closed its connection.
        """
        first_attempts: FirstAttempts = []
        for subrequest, stats in zip(
            self.subrequests, self._first_choices, strict=True
        ):
            self._context.retry_policy.budget(subrequest.service).earn()
            if stats is None or not self._may_send(subrequest):
                subrequest.has_ended = True
            else:
                subrequest.hedge_at = self._deadline
                first_attempts.append((subrequest, stats))
        if len(first_attempts) > 1 and self._is_suspected():
            first_attempts = self._try_first(first_attempts)
        elif len(first_attempts) > 1:
            first_attempts = ContentTrial(
                self._call,
                self._context,
                self._canary,
                self._send,
                self._wait,
            ).run(first_attempts, self._deadline)
        for subrequest, stats in first_attempts:
            self._send(subrequest, stats)
        while not completion.is_complete(
            self.subrequests, self._clock.monotonic()
        ):
            if self._context.is_given_up():
                return
            self._wait(completion.next_check_at(self._clock.monotonic()))

    def close(self, *, caller_left: bool) -> None:
        """Release the attempts that are still in flight.

        Args:
            caller_left: Whether to close their connections, so that the
                searchers stop working on them.
        """
        for attempt in tuple(self._in_flight):
            self._release(attempt, is_cancelled=caller_left)
        # It refers to this execution in turn.
        self._canary.retry = retry_nothing

    def _try_first(self, first_attempts: FirstAttempts) -> FirstAttempts:
        """Send a content that may crash searchers to one of them only.

        Args:
            first_attempts: The services and searchers to send it to.

        Returns:
            Those that may get it now: the others if that one answered.
        """
        services = [subrequest.service for subrequest, _ in first_attempts]
        index = self._context.crash_detector.least_struck(self._call, services)
        subrequest, stats = first_attempts.pop(index)
        self._canary.begin_with(subrequest)
        self._send(subrequest, stats)
        while subrequest.is_open and self._clock.monotonic() < self._deadline:
            if self._context.is_given_up():
                break
            self._wait(self._deadline)
        has_answered = subrequest.success is not None
        end = 'answered' if has_answered else 'not answered'
        event = f'suspected content tried alone, {end}'
        self._add_step(subrequest, stats.searcher.searcher_id, event)
        for untried, _ in first_attempts:
            untried.has_ended = not has_answered
        return first_attempts if has_answered else []

    def _wait(self, until: float) -> None:
        """Handle the next results, or hedge what is late if none come.

        Args:
            until: When to return without results, in monotonic seconds.
        """
        self._canary.settle()
        if not self._in_flight:
            return
        hedge_wait = self._canary.hedge_wait
        hedges = [
            candidate.hedge_at + hedge_wait
            for candidate in self.subrequests
            if candidate.is_open
        ]
        preparations = [one.prepare_at for one in self.subrequests]
        wake_at = min(until, self._canary.late_at, *hedges, *preparations)
        seconds = wake_at - self._clock.monotonic()
        has_results = False
        for attempt, outcome in self._waiter.wait(seconds):
            self._handle_result(attempt, outcome)
            has_results = True
        # Replies may have arrived that were not read yet; these attempts must
        # not be hedged.
        if not has_results:
            prepare_hedges(self.subrequests, self._context, self._may_send)
            self._hedge_late(self._clock.monotonic())

    def _send_next(self, subrequest: SubRequest) -> bool:
        """Send a further attempt; False if none is possible or allowed."""
        if self._is_quarantined() or not self._may_send(subrequest):
            return False
        stats = self._context.selector.pick_and_count(
            subrequest.service, subrequest.tried
        )
        if stats is None:
            return False
        self._send(subrequest, stats)
        return True

    def _send(self, subrequest: SubRequest, stats: SearcherStats) -> None:
        searcher = stats.searcher
        transport = self._context.transport
        attempt = transport.prepare_attempt(
            self._call, searcher, self._deadline
        )
        self._trail.attempts += 1
        subrequest.sent_to.add(searcher.searcher_id)
        subrequest.numbers_by_attempt[attempt] = stats.record_sent()
        subrequest.hedge_at = self._deadline
        if self._may_hedge:
            late_after = _late_after(self._hedge_delay, stats, attempt)
            now = self._clock.monotonic()
            subrequest.hedge_at = now + late_after
            subrequest.prepare_at = now + late_after * PREPARATION_RATIO
        self._in_flight[attempt] = subrequest, stats
        outcome = self._waiter.add(attempt)
        if outcome is not None:
            self._handle_result(attempt, outcome)

    def _may_send(self, subrequest: SubRequest) -> bool:
        """Return whether there is time for an attempt, and one is allowed."""
        time_left = self._deadline - self._clock.monotonic()
        is_exhausted = len(subrequest.sent_to) >= self._max_attempts
        if time_left < MIN_ATTEMPT_SECONDS or is_exhausted:
            return False
        return len(subrequest.unreachable) < MAX_UNREACHABLE

    def _hedge_late(self, now: float) -> None:
        for subrequest in self.subrequests:
            is_late = subrequest.hedge_at + self._canary.hedge_wait <= now
            if subrequest.is_open and is_late:
                subrequest.hedge_at = self._deadline
                if len(subrequest.sent_to) < self._max_attempts:
                    self._hedge(subrequest)

    def _hedge(self, subrequest: SubRequest) -> None:
        late = next(iter(subrequest.numbers_by_attempt), None)
        searcher = late.searcher.searcher_id if late else NO_SEARCHER
        budget = self._context.retry_policy.budget(subrequest.service)
        pick = self._context.selector.pick
        other = None
        if self._may_send(subrequest) and not self._is_quarantined():
            other = pick(subrequest.service, subrequest.tried)
        if other is None:
            self._add_step(
                subrequest, searcher, 'late, no other searcher for a hedge'
            )
        elif budget.spend(RETRY_RESERVE_RATIO) and self._send_next(subrequest):
            self._trail.hedges += 1
            self._canary.note_hedge(subrequest)
            self._add_step(subrequest, searcher, 'late, hedged')
        else:
            self._add_step(subrequest, searcher, 'late, no budget for a hedge')

    def _handle_result(self, attempt: Attempt, outcome: AttemptResult) -> None:
        subrequest, stats = self._in_flight[attempt]
        record_result(self._context, self._hedge_delay, attempt, stats, outcome)
        self._release(attempt, has_ended=True)
        if not self._context.are_links_lost():
            detector = self._context.crash_detector
            detector.note_outcome(
                self._call,
                attempt,
                outcome,
                is_trial=self._canary.is_trial,
                is_unanswered=not any(one.success for one in self.subrequests),
            )
        if subrequest.has_ended:
            return
        rule = rule_for(self._route.retry_safety, outcome)
        subrequest.may_have_run |= rule.may_have_run
        if isinstance(outcome, Reply) and outcome.is_success:
            subrequest.success = outcome
            subrequest.has_ended = True
            for other in tuple(subrequest.numbers_by_attempt):
                self._release(other)
            self._canary.note_answer()
            return
        subrequest.record_failure(outcome)
        self._add_step(subrequest, outcome.searcher, describe_result(outcome))
        if rule.may_retry and subrequest.numbers_by_attempt:
            return
        if rule.may_retry and _is_cut(outcome):
            self._canary.note_loss(subrequest)
            return
        # The attempt may end at once, and the subrequest with it.
        if not self._retry(subrequest, rule):
            subrequest.has_ended = True
        self._canary.note_failure(subrequest)

    def _retry(self, subrequest: SubRequest, rule: RetryRule) -> bool:
        """Send a further attempt; False if none is possible or allowed."""
        if not rule.may_retry:
            return False
        has_attempts = len(subrequest.sent_to) < self._max_attempts
        budget = self._context.retry_policy.budget(subrequest.service)
        is_paid = rule.is_budget_exempt or (has_attempts and budget.spend())
        return is_paid and self._send_next(subrequest)

    def _release(
        self,
        attempt: Attempt,
        *,
        has_ended: bool = False,
        is_cancelled: bool = False,
    ) -> None:
        subrequest, stats = self._in_flight.pop(attempt)
        attempt_number = subrequest.numbers_by_attempt.pop(attempt)
        transport = self._context.transport
        self._waiter.remove(attempt)
        if not has_ended:
            subrequest.may_have_run |= attempt.is_sent
        if not has_ended and not is_cancelled:
            waited = self._clock.monotonic() - attempt.sent_at
            self._hedge_delay.observe(waited)
            transport.supersede(attempt, attempt_number)
            return
        if is_cancelled:
            attempt.cancel(LossReason.TIMEOUT)
        stats.record_ended(attempt_number)
        transport.release_connection(attempt)


def _add_step(
    trail: Trail,
    call: Call,
    clock: Clock,
    subrequest: SubRequest,
    searcher: SearcherId,
    event: str,
) -> None:
    elapsed = clock.monotonic() - call.received_at
    trail.add(Step(elapsed, subrequest.service, searcher, event))


def _is_cut(outcome: AttemptResult) -> bool:
    """Return whether a searcher may have ended under the request.

    One that sends what is no reply has not.
    """
    return isinstance(outcome, Lost) and outcome.reason is LossReason.CUT


def _late_after(
    hedge_delay: HedgeDelay, stats: SearcherStats, attempt: Attempt
) -> float:
    """Return after how many seconds an attempt counts as late."""
    # The hedge delay is learned without round trips; a new connection needs
    # one more.
    round_trips = 1 if attempt.is_connected else 2
    return hedge_delay.delay + stats.round_trip * round_trips
