"""The WSGI application for callers and operators."""

import logging
import re
from collections.abc import Callable, Iterable
from http import HTTPStatus
from typing import TYPE_CHECKING

from basilwall.caller.request import BadRequestError, CallerRequest
from basilwall.caller.service import CallerService
from basilwall.caller.wire import Problem, Reply, problem_reply
from basilwall.records.ids import ServiceName

if TYPE_CHECKING:
    from wsgiref.types import StartResponse, WSGIEnvironment

FAILURE_RETRY_AFTER_MS = 1000
_SERVICE_PATH = re.compile(
    '/v1/services/(?P<service>[^/]+)/(?P<action>query|tickets|orders)',
)

_log = logging.getLogger(__name__)
_ServiceRoute = Callable[[ServiceName, 'CallerRequest'], Reply]


class CallerApp:
    """Routes HTTP requests to the caller service."""

    def __init__(self, service: CallerService) -> None:
        self._service = service
        self._route_by_method_and_action: dict[
            tuple[str, str], _ServiceRoute
        ] = {
            ('POST', 'query'): service.query,
            ('POST', 'tickets'): service.ticket,
            ('POST', 'orders'): service.order,
        }
        self._page_by_path = {
            '/livez': service.live,
            '/readyz': service.ready,
            '/statusz': service.status,
        }

    def __call__(
        self,
        environ: 'WSGIEnvironment',
        start_response: 'StartResponse',
    ) -> Iterable[bytes]:
        """Answer one request by the WSGI protocol."""
        request = CallerRequest(environ)
        try:
            reply = self._route(request)
        except BadRequestError as error:
            self._service.count_bad_request()
            reply = _refused(request, error.status, str(error))
        except Exception:
            _log.exception('request failed')
            reply = _problem(
                request,
                HTTPStatus.INTERNAL_SERVER_ERROR,
                'unknown',
            )
        status = f'{reply.status.value} {reply.status.phrase}'
        start_response(status, reply.headers())
        return [reply.body]

    @property
    def is_stopping(self) -> bool:
        """True if connections are closed after their next reply."""
        return self._service.is_stopping

    def _route(self, request: CallerRequest) -> Reply:
        page = self._page_by_path.get(request.path)
        if page is not None:
            return page()
        matched = _SERVICE_PATH.fullmatch(request.path)
        if matched is None:
            return _refused(request, HTTPStatus.NOT_FOUND)
        route = self._route_by_method_and_action.get(
            (request.method, matched['action']),
        )
        if route is None:
            return _refused(request, HTTPStatus.METHOD_NOT_ALLOWED)
        return route(ServiceName(matched['service']), request)


def _refused(
    request: CallerRequest,
    status: HTTPStatus,
    detail: str = '',
) -> Reply:
    # An earlier request with this ticket may have run the order, so the reply
    # must not state that it did not run.
    outcome = 'rejected' if request.header('Idempotency-Key') else 'not_run'
    return _problem(request, status, outcome, detail)


def _problem(
    request: CallerRequest,
    status: HTTPStatus,
    outcome: str,
    detail: str = '',
) -> Reply:
    return problem_reply(
        Problem(
            type='about:blank',
            title=status.phrase,
            status=status,
            detail=detail,
            request_id=request.request_id,
            outcome=outcome,
            retry_after_ms=FAILURE_RETRY_AFTER_MS
            if outcome == 'unknown'
            else 0,
        ),
    )
