"""Tests of the outcome and retry-after time in the reply to a refused order."""

import io
import json
from types import SimpleNamespace

import pytest

from basilwall.caller.admission import Admission
from basilwall.caller.app import CallerApp
from basilwall.caller.service import CallerService
from basilwall.caller.wire import order_reply
from basilwall.document.model import Document
from basilwall.operators.metrics import Metrics
from basilwall.order.handler_test import Vm
from basilwall.records.order import OrderState

ROUTES = ('query', 'ticket', 'order', 'live', 'ready', 'status')
COUNTS = {'count_bad_request': int}


def post(vm, ticket, admitted=64, documents=('desk',)):
    service = CallerService(
        SimpleNamespace(
            document_by_service={
                service_name: Document(service=service_name)
                for service_name in documents
            },
        ),
        Admission(admitted),
        None,
        vm.order_handler,
        Metrics(None),
        None,
        vm.clock,
    )
    header_by_name = {'Idempotency-Key': f'"{ticket}"'}
    request = SimpleNamespace(
        request_id='r',
        body=lambda: b'{}',
        header=lambda name: header_by_name.get(name, ''),
        timeout_ms=int,
    )
    reply = service.order('desk', request)
    return reply, json.loads(reply.body)


@pytest.mark.parametrize('refused', [{'admitted': 0}, {'documents': ()}])
def test_a_refusal_reports_the_true_outcome_on_every_vm(refused):
    vm, other = Vm(), Vm('b:1', 'i2')
    ticket = vm.issuer.issue('desk')
    for asked_vm, status, outcome in (
        (other, 504, 'unknown'),
        (vm, 503, 'not_run'),
    ):
        reply, problem = post(asked_vm, ticket, **refused)
        assert (reply.status, problem['outcome']) == (status, outcome)
        assert dict(reply.headers())['Retry-After']
    later, _ = post(vm, ticket)
    assert later.status == 503
    assert vm.dispatcher.orders == []
    fresh, problem = post(vm, problem['ticket'])
    assert (fresh.status, problem['outcome']) == (200, 'ran')


def test_an_unknown_outcome_has_a_retry_after_time():
    vm, stopped_vm = Vm(), Vm('b:1', 'i2')
    reply, problem = post(vm, stopped_vm.issuer.issue('desk'))
    assert problem['outcome'] == OrderState.UNKNOWN.value
    assert problem['retry_after_ms'] > 0
    assert dict(reply.headers())['Retry-After']
    assert order_reply('r', vm.handle('forged')).status == 422


@pytest.mark.parametrize(
    'bad',
    [
        {'HTTP_REQUEST_TIMEOUT_MS': 'soon'},
        {'CONTENT_TYPE': 'text/plain'},
        {'REQUEST_METHOD': 'PUT'},
        {'PATH_INFO': '/v1/services/desk/order'},
    ],
)
def test_a_bad_resend_does_not_report_not_run(bad):
    app = CallerApp(SimpleNamespace(**dict.fromkeys(ROUTES), **COUNTS))
    environ = {
        'REQUEST_METHOD': 'POST',
        'PATH_INFO': '/v1/services/desk/orders',
        'HTTP_IDEMPOTENCY_KEY': 'a ticket that may have run',
        'wsgi.input': io.BytesIO(b'{}'),
        **bad,
    }
    app._route_by_method_and_action['POST', 'orders'] = lambda _, request: [
        request.body(),
        request.timeout_ms(1),
    ]
    body = b''.join(app(environ, lambda *_: None))
    assert json.loads(body)['outcome'] == 'rejected'
