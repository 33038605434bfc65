"""The WSGI application that callers and operators talk to."""

import logging
import re
import uuid
from collections.abc import Callable, Iterable
from http import HTTPStatus
from typing import TYPE_CHECKING

from basilwall.caller.service import CallerService
from basilwall.caller.wire import Problem, Reply, problem_reply
from basilwall.records.ids import RequestId, ServiceName

if TYPE_CHECKING:
    from wsgiref.types import StartResponse, WSGIEnvironment

MAX_ID_LENGTH = 64
_SERVICE_PATH = re.compile(
    '/v1/services/(?P<service>[^/]+)/(?P<action>query|tickets|orders)',
)

_log = logging.getLogger(__name__)
_ServiceRoute = Callable[[ServiceName, 'CallerRequest'], Reply]


class CallerRequest:
    """One request as WSGI presents it."""

    def __init__(self, environ: 'WSGIEnvironment') -> None:
        self._environ = environ
        given = self.header('Request-Id')
        usable = 0 < len(given) <= MAX_ID_LENGTH and given.isprintable()
        self.request_id = RequestId(given if usable else uuid.uuid4().hex)

    @property
    def method(self) -> str:
        """The HTTP method."""
        return str(self._environ['REQUEST_METHOD'])

    @property
    def path(self) -> str:
        """The path without its query string."""
        return str(self._environ.get('PATH_INFO', ''))

    def header(self, name: str) -> str:
        """Return a header, or an empty text."""
        key = name.upper().replace('-', '_')
        return str(self._environ.get(f'HTTP_{key}', ''))

    def body(self) -> bytes:
        """Read the whole body."""
        length = int(self._environ.get('CONTENT_LENGTH') or 0)
        return bytes(self._environ['wsgi.input'].read(length))


class CallerApp:
    """Routes requests to the caller service."""

    def __init__(self, service: CallerService) -> None:
        self._service = service
        self._by_method_and_action: dict[tuple[str, str], _ServiceRoute] = {
            ('POST', 'query'): service.query,
            ('POST', 'tickets'): service.ticket,
            ('POST', 'orders'): service.order,
        }
        self._by_path = {
            '/livez': service.live,
            '/readyz': service.ready,
            '/statusz': service.status,
        }

    def __call__(
        self,
        environ: 'WSGIEnvironment',
        start_response: 'StartResponse',
    ) -> Iterable[bytes]:
        """Answer one request."""
        request = CallerRequest(environ)
        try:
            reply = self._route(request)
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
        """True once connections must end with their next reply."""
        return self._service.is_stopping

    def _route(self, request: CallerRequest) -> Reply:
        plain = self._by_path.get(request.path)
        if plain is not None:
            return plain()
        matched = _SERVICE_PATH.fullmatch(request.path)
        if matched is None:
            return _problem(request, HTTPStatus.NOT_FOUND, 'not_run')
        route = self._by_method_and_action.get(
            (request.method, matched['action']),
        )
        if route is None:
            return _problem(request, HTTPStatus.METHOD_NOT_ALLOWED, 'not_run')
        return route(ServiceName(matched['service']), request)


def _problem(
    request: CallerRequest,
    status: HTTPStatus,
    outcome: str,
) -> Reply:
    return problem_reply(
        Problem(
            type='about:blank',
            title=status.phrase,
            status=status,
            request_id=request.request_id,
            outcome=outcome,
        ),
    )
