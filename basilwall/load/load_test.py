"""The load tool: arrivals keep their times, and stalls count in full."""

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


def _plan(**changed):
    given_fields = {'addresses': ('127.0.0.1:1',), 'services': ('a', 'b')}
    return LoadPlan(**(given_fields | changed))


@settings(derandomize=True, max_examples=50, deadline=None)
@given(st.integers(0, 99), st.floats(1, 500), st.integers(1, 200))
def test_arrivals_come_from_the_seed_and_stay_in_bounds(seed, rate, most):
    plan = _plan(seed=seed, rate=rate, seconds=2, max_requests=most)
    drawn = list(draw_arrivals(plan))
    assert drawn == list(draw_arrivals(plan))
    assert len(drawn) <= most
    times = [arrival.at for arrival in drawn]
    assert times == sorted(times)
    assert all(at < 2 for at in times)
    if most == 200 and rate < 50:
        assert abs(len(drawn) - 2 * rate) < 6 * (2 * rate) ** 0.5 + 1


@pytest.mark.parametrize(
    'wrong',
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
def test_an_unbounded_or_distant_run_is_refused(wrong):
    with pytest.raises(PlanError):
        check_plan(_plan(**wrong))


def test_extra_load_counts_only_queries_of_this_run():
    before = {'query.a.default.attempts': 50}
    after = {
        'query.a.default.attempts': 260,
        'query.a.default.least_attempts': 200,
        'order.a.attempts': 9,
    }
    assert extra_load(before, after) == pytest.approx(0.05)
    assert extra_load(after, after) is None


class _Stalling(BaseHTTPRequestHandler):
    """Answers at once, but for one stall that holds up every request."""

    protocol_version = 'HTTP/1.1'
    stalled = threading.Lock()
    seen = 0

    def do_GET(self):
        self._reply(200, b'{"counters": {}}')

    def do_POST(self):
        self.rfile.read(int(self.headers['Content-Length']))
        shared = type(self)
        with shared.stalled:
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
        """Say nothing."""


@pytest.fixture
def stalling():
    _Stalling.seen = 0
    server = ThreadingHTTPServer(('127.0.0.1', 0), _Stalling)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    yield f'127.0.0.1:{server.server_address[1]}'
    server.shutdown()
    server.server_close()


def test_a_stall_counts_for_all_that_should_have_gone_out(stalling):
    plan = _plan(
        addresses=(stalling,),
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
    # Half a second of arrivals was held up, a quarter of the run.
    assert answered.p90_ms > 200
    assert answered.max_ms > 450
    assert answered.p50_ms < 100


def test_requests_beyond_the_room_are_counted_not_delayed(stalling):
    plan = _plan(addresses=(stalling,), rate=100, seconds=1, max_in_flight=2)
    started = time.monotonic()
    report = LoadRun(plan).run()
    assert report.by_outcome[Outcome.NOT_SENT.value] > 20
    assert int(time.monotonic() - started) <= 2


def test_command_line(stalling, tmp_path):
    drawn = tmp_path / 'plot.png'
    common = ['load', '--service=a', '--rate=40', '--seconds=0.5']
    table = CliRunner().invoke(
        app,
        [*common, f'--vm={stalling}', f'--plot={drawn}'],
    )
    assert table.exit_code == 0
    assert 'coverage              75.000%' in table.output
    assert drawn.stat().st_size > 1000
    wrong = CliRunner().invoke(app, [*common, '--vm=192.168.0.1:1'])
    assert wrong.exit_code == 2
