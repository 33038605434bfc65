"""Tests that bad input gets a clear error and affects no other request."""

import io
import json
from types import SimpleNamespace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from basilwall.caller.admission import Admission
from basilwall.caller.app import CallerApp
from basilwall.caller.service import CallerService
from basilwall.document.model import Document
from basilwall.operators.metrics import Metrics
from basilwall.parts.clock import ManualClock
from basilwall.records.answer import Refusal, RefusalReason

QUERY = '/v1/services/depot-desk/query'


class Queries:
    """Refuses every query and records it."""

    def __init__(self):
        self.received = []

    def run(self, query, document):
        self.received.append(query)
        return Refusal(query.request_id, RefusalReason.NO_SNAPSHOT, 1)


def _app():
    queries = Queries()
    document = Document(service='depot-desk')
    state = SimpleNamespace(document_by_service={'depot-desk': document})
    metrics = Metrics(None)
    service = CallerService(
        state,
        Admission(1),
        queries,
        None,
        metrics,
        None,
        ManualClock(),
    )
    return CallerApp(service), queries, metrics


def _call(app, body=b'{}', path=QUERY, method='POST', **environ):
    started = []
    reply = app(
        {
            'REQUEST_METHOD': method,
            'PATH_INFO': path,
            'CONTENT_LENGTH': str(len(body)),
            'wsgi.input': io.BytesIO(body),
            **environ,
        },
        lambda status, headers: started.append((status, dict(headers))),
    )
    [(status, headers)] = started
    return int(status[:3]), headers, json.loads(b''.join(reply))


@pytest.mark.parametrize(
    ('status', 'request_'),
    [
        (400, {'body': b''}),
        (400, {'body': b'{"a": '}),
        (400, {'body': b'[' * 100_000}),
        (415, {'CONTENT_TYPE': 'text/plain'}),
        (400, {'HTTP_REQUEST_TIMEOUT_MS': 'soon'}),
        (400, {'HTTP_REQUEST_TIMEOUT_MS': '-1'}),
        (400, {'HTTP_REQUEST_TIMEOUT_MS': '9' * 5000}),
        (404, {'path': '/v1/services/depot-desk/queries'}),
        (405, {'method': 'GET'}),
        (503, {'path': '/v1/services/no-such/query'}),
    ],
)
def test_a_bad_request_gets_an_error_and_runs_nothing(status, request_):
    app, queries, metrics = _app()
    reported_status, headers, problem = _call(app, **request_)
    assert reported_status == status == problem['status']
    assert headers['Content-Type'] == 'application/problem+json'
    assert problem['outcome'] == 'not_run'
    assert not queries.received
    assert _call(app)[0] == 503
    assert len(queries.received) == 1
    assert metrics.counters().get('bad_requests', 0) == (status in {400, 415})


@given(
    st.binary(),
    st.text(),
    st.text(),
    st.text(st.characters(codec='latin-1')),
)
def test_any_request_gets_a_reply(body, path, method, header):
    app, _, _ = _app()
    status, _, _ = _call(
        app,
        body,
        path,
        method,
        HTTP_REQUEST_ID=header,
        HTTP_REQUEST_TIMEOUT_MS=header,
        HTTP_REQUEST_CLASS=header,
        HTTP_IDEMPOTENCY_KEY=header,
    )
    assert status != 500
