"""Routes a caller's request, runs its attempts and builds its answer."""

import logging
import random
import socket
from collections.abc import Iterator, Mapping
from contextlib import contextmanager
from dataclasses import replace

from basilwall.forwarding.answers import (
    HTTP_GATEWAY_TIMEOUT,
    HTTP_OK,
    NOT_RUN_STATUSES,
    RETRY_AFTER_NO_SEARCHER_SECONDS,
    AnswerBuilder,
)
from basilwall.forwarding.completion import (
    CompletionPolicy,
    ScatterCompletion,
    SingleCompletion,
    min_subrequests,
)
from basilwall.forwarding.context import ForwardingContext
from basilwall.forwarding.execution import RequestExecution
from basilwall.forwarding.late_requests import answer_due_at, is_too_late
from basilwall.forwarding.reporting import RequestReporter, Trail
from basilwall.forwarding.subrequest import SubRequest
from basilwall.forwarding.transport import CallerLeftError
from basilwall.records.forwarding import Answer, Call, Verdict
from basilwall.records.ids import NO_ROUTE, ServiceName
from basilwall.records.routes import (
    RetrySafety,
    Route,
    RouteTable,
    UnusableRoute,
)
from basilwall.records.searcher import SearcherProcess, process_of
from basilwall.relaying.relay import Relay, RelayRequest
from basilwall.routing.routing_state import RoutingState
from basilwall.routing.weighted_round_robin import WeightedRoundRobin

RETRY_AFTER_NO_TABLE_SECONDS = 1.0
#: The other VMs can serve a request at once.
RETRY_AFTER_STOPPING_SECONDS = 0.1

_log = logging.getLogger(__name__)


class Forwarder:
    """Serves requests by the current route table."""

    def __init__(
        self,
        context: ForwardingContext,
        reporter: RequestReporter,
        rng: random.Random,
        relay: Relay | None = None,
    ) -> None:
        """Make a forwarder.

        Args:
            context: What all requests use.
            reporter: Reports how each request ended.
            rng: Draws the jitter of refusals.
            relay: Has requests served by other VMs while this one reaches no
                searcher; None if it must not relay.
        """
        self._context = context
        self._reporter = reporter
        self._relay = relay
        self._answers = AnswerBuilder(context.selector, rng)
        self._round_robin = WeightedRoundRobin()

    def serve(self, call: Call, caller: socket.socket | None) -> Answer:
        """Serve a request.

        Args:
            call: The complete request.
            caller: The caller's socket, watched for a disconnect, if given.

        Returns:
            The final answer; with verdict CALLER_LEFT it is not to be sent.
        """
        table = self._context.routing_state.table
        route: Route | None = None
        trail = Trail()
        try:
            found = table.find_route(call.host, call.path) if table else None
            route = found if isinstance(found, Route) else None
            answer = self._answer(call, table, found, caller, trail)
        except CallerLeftError:
            answer = Answer(Verdict.CALLER_LEFT, 0)
        except Exception:
            # The request may have been sent before.
            _log.exception('request failed', extra={'request': call.request_id})
            answer = self.failure(may_have_run=True)
        try:
            self._reporter.report_end(call, route, table, answer, trail)
        except Exception:
            _log.exception(
                'end of request not reported',
                extra={'request': call.request_id},
            )
        return replace(
            answer,
            table_version=table.version if table else 0,
            waited_until=trail.waited_until,
            route=route.name if route else NO_ROUTE,
            process=_process_of(answer, self._context.routing_state),
        )

    def failure(self, *, may_have_run: bool) -> Answer:
        """Return the answer of a request that an unforeseen error ended.

        Args:
            may_have_run: Whether it may have been sent to a searcher.
        """
        if may_have_run:
            return self._answers.given_up()
        return self._answers.refusal(
            Verdict.FAILED, RETRY_AFTER_NO_SEARCHER_SECONDS
        )

    def record_sent(self, answer: Answer) -> None:
        """Record that an answer was sent to its caller."""
        if answer.waited_until is not None:
            now = self._context.clock.monotonic()
            return_time = self._context.return_times.of(answer.route)
            return_time.observe(now - answer.waited_until)

    def _answer(
        self,
        call: Call,
        table: RouteTable | None,
        found: Route | UnusableRoute | None,
        caller: socket.socket | None,
        trail: Trail,
    ) -> Answer:
        refusal = self._refuse_at_once(call, table)
        if refusal is not None:
            return refusal
        route = found if isinstance(found, Route) else None
        if self._is_behind(table):
            return self._have_relayed(call, route, caller, trail)
        if route is None:
            is_unusable = found is not None or not _is_complete(table)
            return self._answers.without_route(is_unusable=is_unusable)
        now = self._context.clock.monotonic()
        if is_too_late(call, route, now, self._context.stops_at()):
            return self._answers.refusal(
                Verdict.NOT_TAKEN if call.is_relayed else Verdict.STOPPING,
                RETRY_AFTER_STOPPING_SECONDS,
            )
        if self._context.are_links_lost():
            return self._have_relayed(call, route, caller, trail)
        if self._relay is not None and table is not None:
            self._relay.note_version(table.version)
        return self._forward(call, route, caller, trail)

    def _refuse_at_once(
        self, call: Call, table: RouteTable | None
    ) -> Answer | None:
        if call.is_relayed and not self._may_take(call, table):
            return self._answers.refusal(
                Verdict.NOT_TAKEN, RETRY_AFTER_NO_SEARCHER_SECONDS
            )
        if table is None:
            return self._answers.refusal(
                Verdict.NO_TABLE, RETRY_AFTER_NO_TABLE_SECONDS
            )
        return self._refuse_quarantined(call)

    def _may_take(self, call: Call, table: RouteTable | None) -> bool:
        """Return whether this VM can serve a request of another VM."""
        is_current = table is not None and (
            table.version >= call.min_table_version
        )
        return is_current and not self._context.are_links_lost()

    def _is_behind(self, table: RouteTable | None) -> bool:
        """Return whether relayed requests were served by a newer table."""
        version = table.version if table else 0
        return self._relay is not None and version < self._relay.seen_version

    def _forward(
        self,
        call: Call,
        route: Route,
        caller: socket.socket | None,
        trail: Trail,
    ) -> Answer:
        call = replace(call, rank=route.priority)
        waiter = self._context.transport.make_waiter(caller)
        execution = RequestExecution(
            call, route, self._subrequests(route), self._context, waiter, trail
        )
        needed = min_subrequests(route)
        with _release_at_exit(execution):
            if not execution.admit(needed):
                return self._answers.unservable(
                    Verdict.NO_SEARCHER, execution.subrequests, needed
                )
            return_seconds = self._context.return_times.of(route.name).expected
            execution.run(_completion_policy(call, route, return_seconds))
            trail.waited_until = self._context.clock.monotonic()
            reached = {
                subrequest.service: subrequest.reached_count
                for subrequest in execution.subrequests
                if subrequest.reached_count
            }
        answer = self._answers.of(execution.subrequests, route)
        if answer.verdict is Verdict.TIMEOUT and self._context.is_stopped():
            return self._answers.given_up()
        if answer.status == HTTP_OK or not self._context.are_links_lost():
            return answer
        attempts_left = route.max_attempts - max(reached.values(), default=0)
        if attempts_left > 0 and self._may_move(route, reached):
            moved = replace(call, max_attempts=attempts_left)
            return self._have_relayed(
                moved, route, caller, trail, may_have_run=bool(reached)
            )
        if answer.verdict is Verdict.TIMEOUT:
            return self._answers.given_up()
        return answer

    def _have_relayed(
        self,
        call: Call,
        route: Route | None,
        caller: socket.socket | None,
        trail: Trail,
        *,
        may_have_run: bool = False,
    ) -> Answer:
        """Have another VM serve a request.

        Args:
            call: The request.
            route: Its route, None if only a newer table may know it.
            caller: The caller's socket, watched for a disconnect, if given.
            trail: Records the VMs that were asked.
            may_have_run: Whether it may have run before.

        Returns:
            The answer of the other VM, else a refusal or a failure.
        """
        if self._relay is not None:
            relayed = self._relay.serve(
                self._relay_request(call, route, self._relay),
                self._context.transport.make_waiter(caller),
                trail,
            )
            answer = relayed.answer
            # The other VM knows only of its own attempts.
            says_not_run = answer and answer.status in NOT_RUN_STATUSES
            if answer and not (may_have_run and says_not_run):
                return answer
            may_have_run |= relayed.may_have_run
        now = self._context.clock.monotonic()
        if may_have_run and now >= answer_due_at(call, route):
            return Answer(Verdict.TIMEOUT, HTTP_GATEWAY_TIMEOUT)
        if may_have_run:
            return self._answers.given_up()
        return self._answers.refusal(
            Verdict.NO_SEARCHER, RETRY_AFTER_NO_SEARCHER_SECONDS
        )

    def _may_move(
        self, route: Route, reached: Mapping[ServiceName, int]
    ) -> bool:
        """Return whether a request that is not answered may be relayed.

        Args:
            route: The route of the request.
            reached: At how many searchers of each service it may have run; each
                service is charged for another attempt.
        """
        if self._relay is None:
            return False
        if not reached:
            return True
        is_repeatable = route.retry_safety is RetrySafety.IDEMPOTENT
        return is_repeatable and self._context.retry_policy.spend_each(
            tuple(reached)
        )

    def _relay_request(
        self, call: Call, route: Route | None, relay: Relay
    ) -> RelayRequest:
        table = self._context.routing_state.table
        return RelayRequest(
            call,
            answer_due_at(call, route),
            min_version=relay.seen_version,
            known_version=table.version if table else 0,
            max_attempts=call.max_attempts,
        )

    def _subrequests(self, route: Route) -> list[SubRequest]:
        scatter_gather = route.scatter_gather
        if scatter_gather is not None:
            return [SubRequest(shard, 0) for shard in scatter_gather.shards]
        return [SubRequest(self._round_robin.next_service(route), 0)]

    def _refuse_quarantined(self, call: Call) -> Answer | None:
        """Refuse a request whose content crashes searchers, or may do so."""
        refused = self._context.crash_detector.refusal_of(call)
        if refused is None:
            return None
        return self._answers.refusal(refused.verdict, refused.seconds)


@contextmanager
def _release_at_exit(execution: RequestExecution) -> Iterator[None]:
    """Release the attempts in flight, closing them if the caller left."""
    try:
        yield
    except CallerLeftError:
        execution.close(caller_left=True)
        raise
    finally:
        execution.close(caller_left=False)


def _is_complete(table: RouteTable | None) -> bool:
    return table is not None and table.is_complete


def _process_of(
    answer: Answer, routing_state: RoutingState
) -> SearcherProcess | None:
    """Return the process of the searcher whose answer it is, if one."""
    if answer.searcher is None:
        return None
    searcher = routing_state.all_searchers().get(answer.searcher)
    return process_of(searcher) if searcher else None


def _completion_policy(
    call: Call, route: Route, return_seconds: float
) -> CompletionPolicy:
    if route.scatter_gather is None:
        return SingleCompletion(call, route, return_seconds)
    return ScatterCompletion(call, route, route.scatter_gather, return_seconds)
