"""From a caller's request to its final answer."""

import random
import socket
from collections.abc import Iterator, Sequence
from contextlib import contextmanager

from basilwall.forwarding.completion import (
    CompletionPolicy,
    ScatterCompletion,
    SingleCompletion,
    min_shards,
    min_subrequests,
)
from basilwall.forwarding.context import ForwardingContext
from basilwall.forwarding.execution import RequestExecution
from basilwall.forwarding.merging import merge_records
from basilwall.forwarding.reporting import RequestReporter, Trail
from basilwall.forwarding.subrequest import SubRequest
from basilwall.forwarding.transport import CallerLeftError
from basilwall.records.forwarding import Answer, Call, Reply, Unsent, Verdict
from basilwall.records.routes import Route, ScatterGather
from basilwall.routing.weighted_round_robin import WeightedRoundRobin

HTTP_OK = 200
HTTP_NOT_FOUND = 404
HTTP_BAD_GATEWAY = 502
HTTP_UNAVAILABLE = 503
HTTP_GATEWAY_TIMEOUT = 504
#: Statuses that promise that the request has not run and never will.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
#: When to come back while nothing can be served, in seconds, each spread.
RETRY_AFTER_NO_TABLE_SECONDS = 1.0
RETRY_AFTER_NO_SEARCHER_SECONDS = 0.8
RETRY_AFTER_OVERLOAD_SECONDS = 0.3
MIN_RETRY_AFTER_JITTER = 0.7
MAX_RETRY_AFTER_JITTER = 1.3


class Forwarder:
    """Serves requests by the route table in force."""

    def __init__(
        self,
        context: ForwardingContext,
        reporter: RequestReporter,
        rng: random.Random,
    ) -> None:
        self._context = context
        self._reporter = reporter
        self._round_robin = WeightedRoundRobin()
        self._rng = rng

    def serve(self, call: Call, caller: socket.socket | None) -> Answer:
        """Bring a request to its final answer.

        Args:
            call: The whole request.
            caller: The socket of its caller, watched for its end, if any.

        Returns:
            The answer; that of a caller who left is not sent.
        """
        table = self._context.routing_state.table
        route = table.find_route(call.host, call.path) if table else None
        trail = Trail()
        if table is None:
            answer = self._refusal(
                Verdict.NO_TABLE, RETRY_AFTER_NO_TABLE_SECONDS
            )
        elif route is None:
            answer = Answer(Verdict.NO_ROUTE, HTTP_NOT_FOUND)
        else:
            answer = self._forward(call, route, caller, trail)
        self._reporter.report_end(call, route, table, answer, trail)
        return answer

    def _forward(
        self,
        call: Call,
        route: Route,
        caller: socket.socket | None,
        trail: Trail,
    ) -> Answer:
        waiting = self._context.transport.make_waiter(caller)
        legs = self._subrequests(route)
        run = RequestExecution(call, route, legs, self._context, waiting, trail)
        scattering = route.scatter_gather
        refusal = self._refuse_quarantined(call)
        refusal = refusal or self._refuse_unservable(run.subrequests, route)
        if refusal is not None:
            return refusal
        try:
            with _release_at_exit(run):
                run.run(_completion_policy(call, route))
        except CallerLeftError:
            return Answer(Verdict.CALLER_LEFT, 0)
        if scattering is None:
            return self._single_answer(run.subrequests[0])
        return self._shard_answer(run.subrequests, scattering)

    def _subrequests(self, route: Route) -> list[SubRequest]:
        scattering = route.scatter_gather
        if scattering is not None:
            return [SubRequest(shard, 0) for shard in scattering.shards]
        return [SubRequest(self._round_robin.next_service(route), 0)]

    def _refuse_quarantined(self, call: Call) -> Answer | None:
        """Refuse what would crash the searchers that run it."""
        crashes = self._context.crash_detector
        if not crashes.is_quarantined(call):
            return None
        return self._refusal(
            Verdict.QUARANTINED, crashes.quarantine_seconds_left(call)
        )

    def _refuse_unservable(
        self,
        legs: Sequence[SubRequest],
        route: Route,
    ) -> Answer | None:
        """Refuse at once what too few listed searchers could serve."""
        deployment = self._context.routing_state
        served = sum(1 for leg in legs if deployment.searchers(leg.service))
        if served >= min_subrequests(route):
            return None
        return self._refusal(
            Verdict.NO_SEARCHER, RETRY_AFTER_NO_SEARCHER_SECONDS
        )

    def _refusal(self, verdict: Verdict, after: float) -> Answer:
        """Return a promise that the request has not run and never will."""
        spread = self._rng.uniform(
            MIN_RETRY_AFTER_JITTER, MAX_RETRY_AFTER_JITTER
        )
        return Answer(
            verdict,
            HTTP_UNAVAILABLE,
            retry_after=after * spread,
        )

    def _single_answer(self, leg: SubRequest) -> Answer:
        if leg.success is not None:
            return _passed_on(leg.success, Verdict.ANSWERED)
        failure = leg.failure
        if isinstance(failure, Reply) and _may_pass_on(failure):
            return _passed_on(failure, Verdict.PASSED_ON)
        if leg.has_ended and not leg.may_have_run:
            full = isinstance(failure, Reply | Unsent)
            after = (
                RETRY_AFTER_OVERLOAD_SECONDS
                if full
                else RETRY_AFTER_NO_SEARCHER_SECONDS
            )
            return self._refusal(Verdict.NOT_RUN, after)
        if not leg.has_ended:
            return Answer(Verdict.TIMEOUT, HTTP_GATEWAY_TIMEOUT)
        return Answer(Verdict.LOST, HTTP_BAD_GATEWAY)

    def _shard_answer(
        self, legs: Sequence[SubRequest], scattering: ScatterGather
    ) -> Answer:
        replies = [leg.success for leg in legs if leg.success is not None]
        if len(replies) >= min_shards(scattering):
            missing = len(legs) - len(replies)
            return Answer(
                Verdict.PARTIAL if missing else Verdict.ANSWERED,
                HTTP_OK,
                merge_records(
                    (one.body for one in replies), scattering.max_records
                ),
                b'OK',
                missing_shards=missing,
                signatures=tuple(one.signature for one in replies),
            )
        if any(leg.is_open for leg in legs) and not _has_too_few_shards(
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
                retry_after=RETRY_AFTER_OVERLOAD_SECONDS,
            )
        return self._refusal(Verdict.NOT_RUN, RETRY_AFTER_OVERLOAD_SECONDS)


@contextmanager
def _release_at_exit(run: RequestExecution) -> Iterator[None]:
    """End what a run left in flight, cut off if its caller left."""
    try:
        yield
    except CallerLeftError:
        run.close(caller_left=True)
        raise
    finally:
        run.close(caller_left=False)


def _completion_policy(call: Call, route: Route) -> CompletionPolicy:
    if route.scatter_gather is None:
        return SingleCompletion(call, route)
    return ScatterCompletion(call, route, route.scatter_gather)


def _has_too_few_shards(
    legs: Sequence[SubRequest], scattering: ScatterGather
) -> bool:
    possible = sum(1 for leg in legs if leg.success or leg.is_open)
    return possible < min_shards(scattering)


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
