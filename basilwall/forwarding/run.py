"""One request on its way: an attempt at each service, until it is settled.

The task of the caller's connection runs this straight down: it sends, waits
for the next reply or the next hedge, and returns as soon as nothing better
can come of waiting.
"""

from collections.abc import Sequence
from dataclasses import dataclass

from basilwall.forwarding.codec import AttemptCodec
from basilwall.forwarding.crashes import CrashWatch
from basilwall.forwarding.exchange import Exchange
from basilwall.forwarding.leftovers import Leftovers
from basilwall.forwarding.leg import Leg
from basilwall.forwarding.policy import Policy
from basilwall.forwarding.pools import Pools
from basilwall.forwarding.rules import Blame, rule_of
from basilwall.forwarding.settling import Settling
from basilwall.forwarding.waiting import Waiter
from basilwall.parts.clock import Clock
from basilwall.records.forwarding import (
    AttemptResult,
    Call,
    LossReason,
    Reply,
)
from basilwall.records.routes import Repeat, Route
from basilwall.routing.deployment import Deployment
from basilwall.routing.standing import Standing

#: Searchers of one service that may be passed over, nothing sent to them.
MAX_PASSED_OVER = 8
#: Nothing is sent that has less time than this, in seconds.
LEAST_TIME = 0.005


@dataclass(frozen=True, slots=True)
class Senders:
    """What every run sends with."""

    deployment: Deployment
    pools: Pools
    policy: Policy
    leftovers: Leftovers
    crashes: CrashWatch
    codec: AttemptCodec
    clock: Clock


class Run:
    """The attempts of one request; ends them all with `close`."""

    def __init__(
        self,
        call: Call,
        route: Route,
        legs: Sequence[Leg],
        senders: Senders,
        waiter: Waiter,
    ) -> None:
        self.legs = legs
        self.attempts = 0
        self.hedges = 0
        self._call = call
        self._route = route
        self._senders = senders
        self._waiter = waiter
        self._clock = senders.clock
        self._hedge = senders.policy.hedge(route)
        self._may_repeat = route.repeat is Repeat.IDEMPOTENT
        self._leg_by_exchange: dict[Exchange, Leg] = {}
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
            wake_at = min(settling.looks_at(now), self._next_hedge_at())
            for exchange, outcome in self._waiter.wait(wake_at - now):
                self._take(exchange, outcome)
            self._hedge_late(self._clock.monotonic())

    def close(self, *, caller_left: bool) -> None:
        """End what is still in flight.

        Args:
            caller_left: Cut it off, so that its searchers stop work on it.
        """
        for exchange, leg in tuple(self._leg_by_exchange.items()):
            self._release(exchange, leg, cut=caller_left)

    def _send_or_end(self, leg: Leg) -> None:
        if not self._send(leg) and not leg.number_by_exchange:
            leg.has_ended = True

    def _send(self, leg: Leg) -> bool:
        """Send one attempt; False if there is no searcher or no time for it."""
        standing = self._pick(leg)
        if standing is None:
            return False
        searcher = standing.searcher
        connection = self._senders.pools.checkout(searcher)
        exchange = Exchange(
            self._call,
            connection,
            self._senders.codec,
            self._clock,
            self._deadline,
        )
        self.attempts += 1
        leg.sent_to.add(searcher.searcher_id)
        leg.number_by_exchange[exchange] = standing.sent()
        leg.hedge_at = self._hedge_time(standing)
        self._leg_by_exchange[exchange] = leg
        outcome = self._waiter.add(exchange)
        if outcome is not None:
            self._take(exchange, outcome)
        return True

    def _pick(self, leg: Leg) -> Standing | None:
        left = self._deadline - self._clock.monotonic()
        is_spent = len(leg.sent_to) >= self._route.attempts
        if left < LEAST_TIME or is_spent:
            return None
        if len(leg.passed_over) >= MAX_PASSED_OVER:
            return None
        tried = leg.sent_to | leg.passed_over
        return self._senders.pools.pick(leg.service, tried)

    def _hedge_time(self, standing: Standing) -> float:
        if not self._may_repeat:
            return self._deadline
        late_after = self._hedge.delay + standing.trip
        return self._clock.monotonic() + late_after

    def _next_hedge_at(self) -> float:
        times = (leg.hedge_at for leg in self.legs if leg.is_open)
        return min(times, default=self._deadline)

    def _hedge_late(self, now: float) -> None:
        late = [leg for leg in self.legs if leg.is_open and leg.hedge_at <= now]
        for leg in late:
            leg.hedge_at = self._deadline
            if len(leg.sent_to) >= self._route.attempts:
                continue
            budget = self._senders.policy.budget(leg.service)
            if budget.spend(keeps_reserve=True) and self._send(leg):
                self.hedges += 1

    def _take(self, exchange: Exchange, outcome: AttemptResult) -> None:
        leg = self._leg_by_exchange[exchange]
        searcher = exchange.connection.searcher
        self._senders.crashes.saw(self._call, searcher, outcome)
        self._note(exchange, outcome)
        self._release(exchange, leg, has_ended=True)
        if leg.has_ended:
            return
        rule = rule_of(self._route.repeat, outcome)
        leg.may_have_run |= rule.may_have_run
        if isinstance(outcome, Reply) and outcome.is_success:
            self._succeed(leg, outcome)
            return
        leg.note_failure(outcome)
        if not rule.may_repeat:
            leg.has_ended = True
        elif not leg.number_by_exchange:
            self._try_again(leg, is_free=rule.is_free)

    def _try_again(self, leg: Leg, *, is_free: bool) -> None:
        budget = self._senders.policy.budget(leg.service)
        has_attempts = len(leg.sent_to) < self._route.attempts
        may_send = is_free or (has_attempts and budget.spend())
        if may_send:
            self._send_or_end(leg)
        else:
            leg.has_ended = True

    def _succeed(self, leg: Leg, reply: Reply) -> None:
        leg.success = reply
        leg.has_ended = True
        for exchange in tuple(leg.number_by_exchange):
            self._release(exchange, leg)

    def _note(self, exchange: Exchange, outcome: AttemptResult) -> None:
        """Keep what a result says of its searcher."""
        pools = self._senders.pools
        standing = pools.standing(exchange.connection.searcher)
        blame = rule_of(Repeat.IDEMPOTENT, outcome).blame
        if blame is Blame.NO_ROOM:
            standing.refused()
        elif blame is Blame.FAULTY:
            standing.failed()
        elif isinstance(outcome, Reply):
            seconds = self._clock.monotonic() - exchange.sent_at
            standing.replied(seconds)
            self._hedge.observe(max(seconds - standing.trip, 0))

    def _release(
        self,
        exchange: Exchange,
        leg: Leg,
        *,
        has_ended: bool = False,
        cut: bool = False,
    ) -> None:
        number = leg.number_by_exchange.pop(exchange)
        self._leg_by_exchange.pop(exchange)
        pools = self._senders.pools
        self._waiter.drop(exchange)
        if not has_ended and not cut:
            waited = self._clock.monotonic() - exchange.sent_at
            self._hedge.observe(waited)
            self._senders.leftovers.take(exchange, number)
            return
        if cut:
            exchange.give_up(LossReason.TIMEOUT)
        pools.standing(exchange.connection.searcher).ended(number)
        if has_ended and exchange.can_keep:
            pools.give_back(exchange.connection)
        else:
            pools.discard(exchange.connection)
