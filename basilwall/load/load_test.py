"""Tests of the load generator: arrival times, limits and latency counts."""

import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from typer.testing import CliRunner

from basilwall.cli import app
from basilwall.load.client import Outcome
from basilwall.load.plan import LoadPlan, PlanError, check_plan, draw_arrivals
from basilwall.load.run import LoadRun
from basilwall.load.tally import extra_load


def _plan(**changes):
    defaults = {'addresses': ('127.0.0.1:1',), 'services': ('a', 'b')}
    return LoadPlan(**(defaults | changes))


@settings(derandomize=True, max_examples=50, deadline=None)
@given(st.integers(0, 99), st.floats(1, 500), st.integers(1, 200))
def test_same_seed_draws_same_arrivals_within_limits(seed, rate, max_requests):
    plan = _plan(seed=seed, rate=rate, seconds=2, max_requests=max_requests)
    drawn = list(draw_arrivals(plan))
    assert drawn == list(draw_arrivals(plan))
    assert len(drawn) <= max_requests
    times = [arrival.at for arrival in drawn]
    assert times == sorted(times)
    assert all(at < 2 for at in times)
    if max_requests == 200 and rate < 50:
        assert abs(len(drawn) - 2 * rate) < 6 * (2 * rate) ** 0.5 + 1


@pytest.mark.parametrize(
    'invalid',
    [
        {'addresses': ('10.0.0.1:80',)},
        {'addresses': ('localhost:80',)},
        {'addresses': ()},
        {'seconds': 601},
        {'rate': 0},
        {'max_requests': 1_000_001},
        {'max_in_flight': 0},
    ],
)
def test_plan_outside_limits_or_loopback_is_refused(invalid):
    with pytest.raises(PlanError):
        check_plan(_plan(**invalid))


def test_extra_load_counts_only_queries_of_the_run():
    before = {'query.a.default.attempts': 50}
    after = {
        'query.a.default.attempts': 260,
        'query.a.default.least_attempts': 200,
        'order.a.attempts': 9,
    }
    assert extra_load(before, after) == pytest.approx(0.05)
    assert extra_load(after, after) is None


class _StallingHandler(BaseHTTPRequestHandler):
    """Answers at once, except for one 0.5 s stall that blocks all."""

    protocol_version = 'HTTP/1.1'
    stall_lock = threading.Lock()
    seen = 0

    def do_GET(self):
        self._reply(200, b'{"counters": {}}')

    def do_POST(self):
        self.rfile.read(int(self.headers['Content-Length']))
        shared = type(self)
        with shared.stall_lock:
            shared.seen += 1
            if shared.seen == 20:
                time.sleep(0.5)
        if self.headers['Request-Class'] == 'low':
            self._reply(503, b'{"reason": "overloaded", "retry_after_ms": 1}')
            return
        self._reply(
            200,
            b'{"coverage": {"answered": 3, "total": 4, "complete": false}}',
        )

    def _reply(self, status, body):
        self.send_response(status)
        self.send_header('Content-Length', str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, *_):
        """Don't log requests to stderr."""


@pytest.fixture
def stalling_server():
    _StallingHandler.seen = 0
    server = ThreadingHTTPServer(('127.0.0.1', 0), _StallingHandler)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    yield f'127.0.0.1:{server.server_address[1]}'
    server.shutdown()
    server.server_close()


def test_stall_counts_for_all_requests_scheduled_during_it(stalling_server):
    plan = _plan(
        addresses=(stalling_server,),
        classes=('high', 'low'),
        rate=100,
        seconds=2,
        resends=1,
    )
    report = LoadRun(plan).run()
    assert report.requests == len(list(draw_arrivals(plan)))
    assert set(report.by_outcome) == {'partial', 'refused'}
    assert report.by_reason == {'overloaded': report.by_outcome['refused']}
    assert report.resent == report.refused_by_class['low']
    assert report.coverage == pytest.approx(0.75)
    _check_stalled(report.answered)


def _check_stalled(answered):
    # The stall delays the arrivals of 0.5 s, a quarter of the run.
    assert answered.p90_ms > 200
    assert answered.max_ms > 450
    assert answered.p50_ms < 100


def test_requests_beyond_max_in_flight_are_counted_not_delayed(stalling_server):
    plan = _plan(
        addresses=(stalling_server,), rate=100, seconds=1, max_in_flight=2
    )
    started = time.monotonic()
    report = LoadRun(plan).run()
    assert report.by_outcome[Outcome.NOT_SENT.value] > 20
    assert int(time.monotonic() - started) <= 2


def test_command_writes_table_and_plot_and_refuses_remote_vm(
    stalling_server, tmp_path
):
    plot_path = tmp_path / 'plot.png'
    common = ['load', '--service=a', '--rate=40', '--seconds=0.5']
    completed = CliRunner().invoke(
        app,
        [*common, f'--vm={stalling_server}', f'--plot={plot_path}'],
    )
    assert completed.exit_code == 0
    assert 'coverage              75.000%' in completed.output
    assert plot_path.stat().st_size > 1000
    refused = CliRunner().invoke(app, [*common, '--vm=192.168.0.1:1'])
    assert refused.exit_code == 2
