"""Tests of how callers are refused an order: at once, truly, with advice."""

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
                one: Document(service=one) for one in documents
            },
        ),
        Admission(admitted),
        None,
        vm.desk,
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
def test_a_refusal_is_true_here_and_elsewhere(refused):
    vm, other = Vm(), Vm('b:1', 'i2')
    ticket = vm.mint.issue('desk')
    for asked, status, outcome in (
        (other, 504, 'unknown'),
        (vm, 503, 'not_run'),
    ):
        reply, told = post(asked, ticket, **refused)
        assert (reply.status, told['outcome']) == (status, outcome)
        assert dict(reply.headers())['Retry-After']
    later, _ = post(vm, ticket)
    assert later.status == 503
    assert vm.dispatcher.orders == []
    fresh, told = post(vm, told['ticket'])
    assert (fresh.status, told['outcome']) == (200, 'ran')


def test_unknown_says_when_to_come_back():
    vm, gone = Vm(), Vm('b:1', 'i2')
    reply, told = post(vm, gone.mint.issue('desk'))
    assert told['outcome'] == OrderState.UNKNOWN.value
    assert told['retry_after_ms'] > 0
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
def test_a_bad_resend_says_nothing_of_its_ticket(bad):
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
