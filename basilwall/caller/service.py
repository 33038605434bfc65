"""Handles the requests of callers: queries, tickets and orders."""

import time
from collections.abc import Callable
from dataclasses import replace
from http import HTTPStatus

import msgspec

from basilwall.caller.admission import Admission, NotAdmittedError
from basilwall.caller.request import CallerRequest
from basilwall.caller.wire import (
    JSON_TYPE,
    Reply,
    TicketBody,
    answer_reply,
    json_reply,
    order_reply,
    refusal_reply,
)
from basilwall.configuration.state import PlatformState
from basilwall.document.model import Document
from basilwall.operators.metrics import Metrics
from basilwall.operators.status import StatusReport
from basilwall.order.handler import OrderHandler, OrderRequest
from basilwall.parts.clock import Clock
from basilwall.query.congestion import is_congested
from basilwall.query.progress import Query
from basilwall.query.runner import QueryRunner
from basilwall.records.answer import QueryAnswer, Refusal, RefusalReason
from basilwall.records.attempt import RequestKind
from basilwall.records.ids import ClassName, ServiceName
from basilwall.records.order import OrderOutcome, OrderReason

MS_PER_SECOND = 1000
RETRY_AFTER_MS = 100


class CallerService:
    """Handles the routed requests of the WSGI application.

    Once `is_stopping` is set, the VM reports that it is not ready.
    """

    def __init__(
        self,
        state: PlatformState,
        admission: Admission,
        queries: QueryRunner,
        order_handler: OrderHandler,
        metrics: Metrics,
        build_report: Callable[[], StatusReport],
        clock: Clock,
    ) -> None:
        self.is_stopping = False
        self._state = state
        self._admission = admission
        self._queries = queries
        self._order_handler = order_handler
        self._metrics = metrics
        self._build_report = build_report
        self._clock = clock

    def query(self, service: ServiceName, request: CallerRequest) -> Reply:
        """Answer a query, or refuse it at once."""
        document = self._state.document_by_service.get(service)
        if document is None:
            return refusal_reply(_unknown_service(request))
        class_name = document.resolve_class(request.header('Request-Class'))
        started_at = time.monotonic()
        deadline = self._deadline(request, document.deadline_ms)
        query = Query(request.request_id, service, request.body(), deadline)
        try:
            outcome = self._admit_and_run(query, document, class_name)
        except NotAdmittedError as error:
            outcome = Refusal(
                request.request_id,
                error.reason,
                error.retry_after_ms,
            )
        self._metrics.observe_query(
            service,
            class_name,
            time.monotonic() - started_at,
            outcome,
        )
        if isinstance(outcome, QueryAnswer):
            return answer_reply(outcome)
        return refusal_reply(outcome)

    def ticket(self, service: ServiceName, request: CallerRequest) -> Reply:
        """Issue a ticket for one order."""
        if service not in self._state.document_by_service:
            return refusal_reply(_unknown_service(request))
        issuer = self._order_handler.issuer
        return json_reply(
            TicketBody(
                issuer.issue(service),
                int(issuer.lifetime * MS_PER_SECOND),
            ),
        )

    def order(self, service: ServiceName, request: CallerRequest) -> Reply:
        """Run an order at most once and return its outcome."""
        document = self._state.document_by_service.get(service)
        started_at = time.monotonic()
        outcome = self._run_order(service, request, document)
        self._metrics.observe_order(
            service,
            time.monotonic() - started_at,
            outcome,
        )
        return order_reply(request.request_id, outcome)

    def count_bad_request(self) -> None:
        """Count a request that is invalid."""
        self._metrics.count('bad_requests')

    def live(self) -> Reply:
        """Report that the process is alive."""
        return Reply(HTTPStatus.OK, b'{"live":true}')

    def ready(self) -> Reply:
        """Report whether the load balancer may send callers to this VM."""
        if self.is_stopping or not self._state.is_ready():
            return Reply(HTTPStatus.SERVICE_UNAVAILABLE, b'{"ready":false}')
        return Reply(HTTPStatus.OK, b'{"ready":true}')

    def status(self) -> Reply:
        """Return the status report of this VM for operators."""
        body = msgspec.json.encode(self._build_report())
        return Reply(HTTPStatus.OK, body, JSON_TYPE)

    def _run_order(
        self,
        service: ServiceName,
        request: CallerRequest,
        document: Document | None,
    ) -> OrderOutcome:
        order = OrderRequest(
            request.request_id,
            service,
            request.header('Idempotency-Key').strip('"'),
            request.body(),
            self._order_deadline(request, document),
        )
        if document is None:
            return self._order_handler.refuse(
                order, OrderReason.UNKNOWN_SERVICE
            )
        class_name = document.resolve_class(request.header('Request-Class'))
        try:
            with self._admission.admit(
                document,
                class_name,
                order.deadline - self._clock.monotonic(),
                RequestKind.NON_IDEMPOTENT,
            ):
                return self._order_handler.handle(order)
        except NotAdmittedError:
            return self._order_handler.refuse(order, OrderReason.OVERLOADED)

    def _admit_and_run(
        self,
        query: Query,
        document: Document,
        class_name: ClassName,
    ) -> QueryAnswer | Refusal:
        with self._admission.admit(
            document,
            class_name,
            query.deadline - self._clock.monotonic(),
        ) as admitted:
            outcome = self._queries.run(query, document)
            admitted.is_congested = is_congested(outcome, document)
            if isinstance(outcome, Refusal):
                refusal_wait_ms = admitted.count_refusal()
                outcome = replace(outcome, retry_after_ms=refusal_wait_ms)
        return outcome

    def _order_deadline(
        self,
        request: CallerRequest,
        document: Document | None,
    ) -> float:
        if document is None:
            return self._clock.monotonic()
        return self._deadline(request, document.order_deadline_ms)

    def _deadline(self, request: CallerRequest, default_ms: int) -> float:
        requested_ms = request.timeout_ms(default_ms)
        return self._clock.monotonic() + requested_ms / MS_PER_SECOND


def _unknown_service(request: CallerRequest) -> Refusal:
    return Refusal(
        request.request_id,
        RefusalReason.UNKNOWN_SERVICE,
        RETRY_AFTER_MS,
    )
