"""From the id of a failed request to its cause, as docs/OPERATIONS.md says."""

import contextlib
import logging
import re
from pathlib import Path

import msgspec
import pytest

from basilwall.forwarding.reporting import Trail
from basilwall.operators.logs import JsonLinesFormatter
from basilwall.records.forwarding import Verdict
from basilwall.standin.platform_searcher import Behaviour
from tests.entry_stage import ask, request, staged, status_of, wait_until

PAGE = (Path(__file__).parents[1] / 'docs' / 'OPERATIONS.md').read_text()
METRICS = 'GET /metrics HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n'


@pytest.fixture(name='stage', scope='module')
def _stage(tmp_path_factory):
    with staged(tmp_path_factory.mktemp('operations')) as stage:
        yield stage


@contextlib.contextmanager
def lines():
    """Collect the log lines of the product as they are written."""
    written = []
    handler = logging.Handler()
    formatter = JsonLinesFormatter()
    handler.emit = lambda one: written.append(
        msgspec.json.decode(formatter.format(one)),
    )
    log = logging.getLogger('basilwall')
    log.addHandler(handler)
    log.setLevel(logging.INFO)
    try:
        yield written
    finally:
        log.removeHandler(handler)


def end_of(written, request_id):
    (line,) = (
        one
        for one in written
        if one['message'] == 'request ended' and one['request'] == request_id
    )
    return line


def set_conduct(stage, service, conduct):
    for zone in ('near', 'far'):
        stage.searcher_by_id[f'{service}.{zone}'].behaviour = conduct


def test_a_partial_answer_leads_to_its_shard_and_searchers(stage):
    set_conduct(stage, 'shard-1', Behaviour.SILENT)
    with lines() as written:
        ask(stage.caller, request('/all/a', 'partial-1'))
    set_conduct(stage, 'shard-1', Behaviour.ANSWER)
    line = end_of(written, 'partial-1')
    assert (line['verdict'], line['missing']) == ('partial', 1)
    assert re.search(r'ms shard-1 shard-1\.\w+ late, hedged', line['trail'][0])
    assert line['store_read_s_ago'] < 10


def test_a_failure_leads_to_the_searcher_that_broke_off(stage):
    set_conduct(stage, 'single', Behaviour.RESET)
    with lines() as written:
        raw = request('/once/a', 'lost-1', method='POST', body=b'x')
        assert status_of(ask(stage.caller, raw)) == 502
    set_conduct(stage, 'single', Behaviour.ANSWER)
    line = end_of(written, 'lost-1')
    assert (line['verdict'], line['attempts']) == ('lost', 1)
    searcher = line['trail'][0].split()[2]
    assert 'lost: cut' in line['trail'][0]
    lost = [one for one in written if one['message'] == 'searcher lost']
    assert [one['searcher'] for one in lost] == [searcher]


def test_a_404_leads_to_the_version_in_force(stage):
    with lines() as written:
        assert status_of(ask(stage.caller, request('/no/', 'none-1'))) == 404
        stage.store.put('op/config', b'{')
        wait_until(
            lambda: any(one['message'] == 'value refused' for one in written),
        )
    line = end_of(written, 'none-1')
    assert (line['verdict'], line['table']) == ('no_route', 1)


def test_the_metrics_count_what_the_page_names(stage):
    ask(stage.caller, request('/all/a', 'counted-1'))
    address = stage.vm.settings.value.metrics_address
    text = ask(address, METRICS.encode()).decode()
    for name in re.findall('`(basilwall_[a-z_]+)', PAGE):
        assert name in text
    assert 'basilwall_requests_total{route="r/all/",verdict="answered"}' in text
    assert 'basilwall_request_seconds_bucket{le="0.15",route="r/all/"}' in text


def test_the_page_names_every_verdict_and_every_line(stage):
    for verdict in Verdict:
        if verdict is not Verdict.MALFORMED:
            assert f'`{verdict.value}`' in PAGE
    folder = Path(__file__).parents[1] / 'basilwall'
    modules = [
        *folder.glob('forwarding/*.py'),
        *folder.glob('routing/*.py'),
        *folder.glob('fleet/*.py'),
        *folder.glob('configuration/*.py'),
        folder / 'entry_vm.py',
    ]
    source = '\n'.join(module.read_text() for module in modules)
    told = set(re.findall(r"_log\.info\(\s*'([^']+)'", source))
    named = ' '.join(PAGE.split())
    missing = {one for one in told if one not in named}
    assert not missing - {'searcher loss not classified'}


def test_a_trail_has_an_end():
    trail = Trail()
    for _ in range(100):
        trail.add('step')
    assert len(trail.steps) + trail.omitted_steps == 100
