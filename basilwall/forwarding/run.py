"""One request on its way: an attempt at each service, until it is settled.

The task of the caller's connection runs this straight down: it sends, waits
for the next reply or the next hedge, and returns as soon as nothing better
can come of waiting.
"""

from collections.abc import Sequence
from typing import Any

from basilwall.forwarding.leg import Leg
from basilwall.forwarding.policy import RESERVE
from basilwall.forwarding.reporting import Step, Trail
from basilwall.forwarding.rules import describe, rule_of
from basilwall.forwarding.senders import Senders, note_result
from basilwall.forwarding.settling import Settling
from basilwall.forwarding.transport import Attempt, Waiting
from basilwall.records.forwarding import (
    AttemptResult,
    Call,
    LossReason,
    Reply,
)
from basilwall.records.ids import SearcherId
from basilwall.records.routes import Repeat, Route
from basilwall.routing.standing import Standing

#: Searchers of one service that may be passed over, nothing sent to them.
MAX_PASSED_OVER = 8
#: Nothing is sent that has less time than this, in seconds.
LEAST_TIME = 0.005
NOBODY = SearcherId('')


class Run:
    """The attempts of one request; ends them all with `close`."""

    def __init__(
        self,
        call: Call,
        route: Route,
        legs: Sequence[Leg],
        senders: Senders,
        waiting: Waiting[Any],
        trail: Trail,
    ) -> None:
        self.legs = legs
        self._trail = trail
        self._call = call
        self._route = route
        self._senders = senders
        self._waiting = waiting
        self._clock = senders.clock
        self._hedge = senders.policy.hedge(route)
        self._may_repeat = route.repeat is Repeat.IDEMPOTENT
        self._leg_by_attempt: dict[Attempt, Leg] = {}
        self._deadline = min(
            call.expires_at,
            call.received_at + route.longest_wait,
        )

    def run(self, settling: Settling) -> None:
        """Send to every service and wait until the request is settled.

        Args:
            settling: Says when nothing better can come of waiting.

        Raises:
            CallerLeftError: If the caller closed its connection.
        """
        for leg in self.legs:
            self._senders.policy.budget(leg.service).earn()
            self._send_or_end(leg)
        while not settling.is_settled(self.legs, self._clock.monotonic()):
            now = self._clock.monotonic()
            hedges = [one.hedge_at for one in self.legs if one.is_open]
            wake_at = min(settling.looks_at(now), *hedges)
            ended = False
            for attempt, outcome in self._waiting.wait(wake_at - now):
                self._take(attempt, outcome)
                ended = True
            # Replies that are here but not read yet must not count as late.
            if not ended:
                self._hedge_late(self._clock.monotonic())

    def close(self, *, caller_left: bool) -> None:
        """End what is still in flight.

        Args:
            caller_left: Cut it off, so that its searchers stop work on it.
        """
        for attempt, leg in tuple(self._leg_by_attempt.items()):
            self._release(attempt, leg, cut=caller_left)

    def _send_or_end(self, leg: Leg) -> None:
        if not self._send(leg) and not leg.number_by_attempt:
            leg.has_ended = True

    def _send(self, leg: Leg) -> bool:
        """Send one attempt; False if there is no searcher or no time for it."""
        standing = self._pick(leg)
        if standing is None:
            return False
        searcher = standing.searcher
        transport = self._senders.transport
        attempt = transport.begin(self._call, searcher, self._deadline)
        self._trail.attempts += 1
        leg.sent_to.add(searcher.searcher_id)
        leg.number_by_attempt[attempt] = standing.sent()
        leg.hedge_at = self._hedge_time(standing, attempt)
        self._leg_by_attempt[attempt] = leg
        outcome = self._waiting.add(attempt)
        if outcome is not None:
            self._take(attempt, outcome)
        return True

    def _pick(self, leg: Leg) -> Standing | None:
        left = self._deadline - self._clock.monotonic()
        is_spent = len(leg.sent_to) >= self._route.attempts
        if left < LEAST_TIME or is_spent:
            return None
        if len(leg.passed_over) >= MAX_PASSED_OVER:
            return None
        tried = leg.sent_to | leg.passed_over
        return self._senders.placing.pick(leg.service, tried)

    def _hedge_time(self, standing: Standing, attempt: Attempt) -> float:
        if not self._may_repeat:
            return self._deadline
        # The delay is learned from attempts on connections that were there.
        trips = 1 if attempt.is_connected else 2
        late_after = self._hedge.delay + standing.trip * trips
        return self._clock.monotonic() + late_after

    def _hedge_late(self, now: float) -> None:
        late = [leg for leg in self.legs if leg.is_open and leg.hedge_at <= now]
        for leg in late:
            leg.hedge_at = self._deadline
            if len(leg.sent_to) >= self._route.attempts:
                continue
            self._hedge_leg(leg)

    def _hedge_leg(self, leg: Leg) -> None:
        late = next(iter(leg.number_by_attempt), None)
        searcher = late.searcher.searcher_id if late else NOBODY
        budget = self._senders.policy.budget(leg.service)
        if self._pick(leg) is None:
            self._step(leg, searcher, 'late, no other searcher for a hedge')
        elif budget.spend(RESERVE) and self._send(leg):
            self._trail.hedges += 1
            self._step(leg, searcher, 'late, hedged')
        else:
            self._step(leg, searcher, 'late, no budget for a hedge')

    def _step(self, leg: Leg, searcher: SearcherId, what: str) -> None:
        after = self._clock.monotonic() - self._call.received_at
        self._trail.add(Step(after, leg.service, searcher, what))

    def _take(self, attempt: Attempt, outcome: AttemptResult) -> None:
        leg = self._leg_by_attempt[attempt]
        searcher = attempt.searcher
        self._senders.crashes.saw(self._call, searcher, outcome)
        note_result(self._senders, self._hedge, attempt, outcome)
        self._release(attempt, leg, has_ended=True)
        if leg.has_ended:
            return
        rule = rule_of(self._route.repeat, outcome)
        leg.may_have_run |= rule.may_have_run
        if isinstance(outcome, Reply) and outcome.is_success:
            self._succeed(leg, outcome)
            return
        leg.note_failure(outcome)
        self._step(leg, outcome.searcher, describe(outcome))
        if not rule.may_repeat:
            leg.has_ended = True
        elif not leg.number_by_attempt:
            self._try_again(leg, is_free=rule.is_free)

    def _try_again(self, leg: Leg, *, is_free: bool) -> None:
        budget = self._senders.policy.budget(leg.service)
        has_attempts = len(leg.sent_to) < self._route.attempts
        if is_free or (has_attempts and budget.spend()):
            self._send_or_end(leg)
        else:
            leg.has_ended = True

    def _succeed(self, leg: Leg, reply: Reply) -> None:
        leg.success = reply
        leg.has_ended = True
        for attempt in tuple(leg.number_by_attempt):
            self._release(attempt, leg)

    def _release(
        self,
        attempt: Attempt,
        leg: Leg,
        *,
        has_ended: bool = False,
        cut: bool = False,
    ) -> None:
        number = leg.number_by_attempt.pop(attempt)
        self._leg_by_attempt.pop(attempt)
        standing = self._senders.placing.standing(attempt.searcher)
        transport = self._senders.transport
        self._waiting.drop(attempt)
        if not has_ended and not cut:
            waited = self._clock.monotonic() - attempt.sent_at
            self._hedge.observe(waited)
            transport.leave(attempt, number)
            return
        if cut:
            attempt.give_up(LossReason.TIMEOUT)
        standing.ended(number)
        transport.end(attempt)
