"""From a caller's request to its final answer."""

import random
import socket
from collections.abc import Iterator, Sequence
from contextlib import contextmanager

from basilwall.forwarding.leg import Leg
from basilwall.forwarding.merging import merge
from basilwall.forwarding.reporting import Reporting, Trail
from basilwall.forwarding.run import Run
from basilwall.forwarding.senders import Senders
from basilwall.forwarding.settling import (
    Settling,
    ShardSettling,
    SingleSettling,
    least_legs,
    least_shards,
)
from basilwall.forwarding.transport import CallerLeftError
from basilwall.records.forwarding import Answer, Call, Reply, Unsent, Verdict
from basilwall.records.routes import Route, Scattering
from basilwall.routing.turns import Turns

HTTP_OK = 200
HTTP_NOT_FOUND = 404
HTTP_BAD_GATEWAY = 502
HTTP_UNAVAILABLE = 503
HTTP_GATEWAY_TIMEOUT = 504
#: Statuses that promise that the request has not run and never will.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
#: When to come back while nothing can be served, in seconds, each spread.
COME_BACK_NO_TABLE = 1.0
COME_BACK_NO_SEARCHER = 0.8
COME_BACK_FULL = 0.3
LEAST_SPREAD = 0.7
MOST_SPREAD = 1.3


class Forwarder:
    """Serves requests by the route table in force."""

    def __init__(
        self,
        senders: Senders,
        reporting: Reporting,
        source: random.Random,
    ) -> None:
        self._senders = senders
        self._reporting = reporting
        self._turns = Turns()
        self._source = source

    def serve(self, call: Call, caller: socket.socket | None) -> Answer:
        """Bring a request to its final answer.

        Args:
            call: The whole request.
            caller: The socket of its caller, watched for its end, if any.

        Returns:
            The answer; that of a caller who left is not sent.
        """
        table = self._senders.deployment.table
        route = table.find(call.host, call.path) if table else None
        trail = Trail()
        if table is None:
            answer = self._refusal(Verdict.NO_TABLE, COME_BACK_NO_TABLE)
        elif route is None:
            answer = Answer(Verdict.NO_ROUTE, HTTP_NOT_FOUND)
        else:
            answer = self._forward(call, route, caller, trail)
        self._reporting.ended(call, route, table, answer, trail)
        return answer

    def _forward(
        self,
        call: Call,
        route: Route,
        caller: socket.socket | None,
        trail: Trail,
    ) -> Answer:
        waiting = self._senders.transport.waiting(caller)
        legs = self._legs(route)
        run = Run(call, route, legs, self._senders, waiting, trail)
        scattering = route.scattering
        refusal = self._refuse_quarantined(call)
        refusal = refusal or self._refuse_hopeless(run.legs, route)
        if refusal is not None:
            return refusal
        try:
            with _closing(run):
                run.run(_settling(call, route))
        except CallerLeftError:
            return Answer(Verdict.CALLER_LEFT, 0)
        if scattering is None:
            return self._single_answer(run.legs[0])
        return self._shard_answer(run.legs, scattering)

    def _legs(self, route: Route) -> list[Leg]:
        scattering = route.scattering
        if scattering is not None:
            return [Leg(shard, 0) for shard in scattering.shards]
        return [Leg(self._turns.next_service(route), 0)]

    def _refuse_quarantined(self, call: Call) -> Answer | None:
        """Refuse what would crash the searchers that run it."""
        crashes = self._senders.crashes
        if not crashes.is_quarantined(call):
            return None
        return self._refusal(Verdict.QUARANTINED, crashes.seconds_left(call))

    def _refuse_hopeless(
        self,
        legs: Sequence[Leg],
        route: Route,
    ) -> Answer | None:
        """Refuse at once what too few listed searchers could serve."""
        deployment = self._senders.deployment
        served = sum(1 for leg in legs if deployment.searchers(leg.service))
        if served >= least_legs(route):
            return None
        return self._refusal(Verdict.NO_SEARCHER, COME_BACK_NO_SEARCHER)

    def _refusal(self, verdict: Verdict, after: float) -> Answer:
        """Return a promise that the request has not run and never will."""
        spread = self._source.uniform(LEAST_SPREAD, MOST_SPREAD)
        return Answer(
            verdict,
            HTTP_UNAVAILABLE,
            retry_after=after * spread,
        )

    def _single_answer(self, leg: Leg) -> Answer:
        if leg.success is not None:
            return _passed_on(leg.success, Verdict.ANSWERED)
        failure = leg.failure
        if isinstance(failure, Reply) and _may_pass_on(failure):
            return _passed_on(failure, Verdict.PASSED_ON)
        if leg.has_ended and not leg.may_have_run:
            full = isinstance(failure, Reply | Unsent)
            after = COME_BACK_FULL if full else COME_BACK_NO_SEARCHER
            return self._refusal(Verdict.NOT_RUN, after)
        if not leg.has_ended:
            return Answer(Verdict.TIMEOUT, HTTP_GATEWAY_TIMEOUT)
        return Answer(Verdict.LOST, HTTP_BAD_GATEWAY)

    def _shard_answer(
        self, legs: Sequence[Leg], scattering: Scattering
    ) -> Answer:
        replies = [leg.success for leg in legs if leg.success is not None]
        if len(replies) >= least_shards(scattering):
            missing = len(legs) - len(replies)
            return Answer(
                Verdict.PARTIAL if missing else Verdict.ANSWERED,
                HTTP_OK,
                merge((one.body for one in replies), scattering.top_records),
                b'OK',
                missing=missing,
                signatures=tuple(one.signature for one in replies),
            )
        if any(leg.is_open for leg in legs) and not _is_hopeless(
            legs,
            scattering,
        ):
            return Answer(Verdict.TIMEOUT, HTTP_GATEWAY_TIMEOUT)
        has_run = any(
            leg.may_have_run or leg.is_open or leg.success for leg in legs
        )
        if has_run:
            return Answer(
                Verdict.TOO_FEW_SHARDS,
                HTTP_BAD_GATEWAY,
                retry_after=COME_BACK_FULL,
            )
        return self._refusal(Verdict.NOT_RUN, COME_BACK_FULL)


@contextmanager
def _closing(run: Run) -> Iterator[None]:
    """End what a run left in flight, cut off if its caller left."""
    try:
        yield
    except CallerLeftError:
        run.close(caller_left=True)
        raise
    finally:
        run.close(caller_left=False)


def _settling(call: Call, route: Route) -> Settling:
    if route.scattering is None:
        return SingleSettling(call, route)
    return ShardSettling(call, route, route.scattering)


def _is_hopeless(legs: Sequence[Leg], scattering: Scattering) -> bool:
    possible = sum(1 for leg in legs if leg.success or leg.is_open)
    return possible < least_shards(scattering)


def _may_pass_on(reply: Reply) -> bool:
    """Return whether a failure may be told as its searcher told it.

    Some statuses promise that the request has not run; a searcher that ran it
    has no right to them.
    """
    has_run = reply.has_run and reply.status not in NOT_RUN_STATUSES
    return has_run and bool(reply.signature)


def _passed_on(reply: Reply, verdict: Verdict) -> Answer:
    return Answer(
        verdict,
        reply.status,
        reply.body,
        reply.reason,
        reply.headers,
    )
