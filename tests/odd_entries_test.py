"""An odd entry among those of the searchers harms no request and no VM."""

import json
import time

import pytest

from tests.entry_stage import (
    ROUTES,
    ask,
    request,
    route,
    split,
    staged,
    status_of,
    table,
    wait_until,
)

ENTRY = {
    'service': 'single',
    'address': '127.0.0.1:9',
    'zone': 'near',
    'version': 'v1',
    'capacity': 2,
    'state': 'ready',
    'cold_left_ms': 0,
    'call_seq': 1,
    'born': 1,
}
DEEP = 200_000
LONG_NUMBER = '9' * 4000


def entry(**fields):
    return json.dumps(ENTRY | fields).encode()


def entry_with(name, raw):
    """Return an entry in which one field holds raw JSON."""
    others = {key: one for key, one in ENTRY.items() if key != name}
    return json.dumps(others)[:-1].encode() + f', "{name}": {raw}}}'.encode()


ODD_ENTRIES = {
    'port out of range': entry(address='127.0.0.1:99999'),
    'port with 4000 digits': entry(address=f'127.0.0.1:{LONG_NUMBER}'),
    'port zero': entry(address='127.0.0.1:0'),
    'no port': entry(address='127.0.0.1'),
    'octet out of range': entry(address='999.0.0.1:80'),
    'digits of another script': entry(address='\u0661\u0662\u0667.0.0.1:80'),
    'name for a host': entry(address='searcher.example:80'),
    'header in the address': entry(address='127.0.0.1:80\r\nX: y'),
    'deeply nested': b'[' * DEEP,
    'nested in a field': entry_with('service', '[' * DEEP + ']' * DEEP),
    'nested in an unknown field': entry_with('x', '[' * DEEP + ']' * DEEP),
    'capacity too large': entry_with('capacity', LONG_NUMBER),
    'capacity in the billions': entry(capacity=2**40),
    'slow for too long': entry_with('cold_left_ms', LONG_NUMBER),
    'slow without end': entry_with('cold_left_ms', '1e999'),
    'slow for nearly for ever': entry_with('cold_left_ms', '1e308'),
    'slow for less than nothing': entry_with('cold_left_ms', '-1e308'),
    'start too large': entry_with('born', LONG_NUMBER),
    'start beyond integers': entry_with('born', '1e400'),
    'start before time': entry(born=-(2**62)),
    'surrogate in a name': entry_with('zone', '"\\ud800"'),
    'bytes that are no text': b'\xff\xfe',
    'nothing': b'',
    'null': b'null',
}


@pytest.fixture(name='stage', scope='module')
def _stage(tmp_path_factory):
    with staged(tmp_path_factory.mktemp('entry')) as stage:
        yield stage


@pytest.mark.parametrize('name', ODD_ENTRIES)
@pytest.mark.parametrize('key', ['servers/odd', 'servers/single.far'])
def test_requests_are_answered_and_changes_followed_beside_an(stage, name, key):
    stage.store.put(key, ODD_ENTRIES[name])
    version = int(time.monotonic() * 1000)
    added = route(f'/{version}/', service='single')
    stage.store.put('op/config', table(version, [*ROUTES, added]))
    wait_until(
        lambda: status_of(ask(stage.caller, request(f'/{version}/a'))) == 200
    )
    for number in range(6):
        answer = ask(stage.caller, request('/one/a', f'id-{number}'))
        assert status_of(answer) == 200
        assert split(answer)[0][b'server-stamp']
    stage.store.remove('servers/odd')
    stage.list_searcher('single.far', 'single', zone='far')


def test_an_odd_entry_alone_in_its_service_is_no_searcher(stage):
    odd = entry(service='other', address='127.0.0.1:99999')
    stage.store.put('servers/odd', odd)
    added = route('/other/', service='other')
    version = int(time.monotonic() * 1000)
    stage.store.put('op/config', table(version, [*ROUTES, added]))
    wait_until(lambda: status_of(ask(stage.caller, request('/other/a'))) == 503)
    headers, _ = split(ask(stage.caller, request('/other/a')))
    assert float(headers[b'retry-after']) > 0
    stage.store.remove('servers/odd')


@pytest.mark.parametrize(
    'address', ['127.0.0.1:99999', '999.0.0.1:80', 'searcher.example:80']
)
def test_an_odd_entry_alone_in_a_shard_is_left_out_of_the_answer(
    stage, address
):
    for zone in ('near', 'far'):
        stage.store.remove(f'servers/shard-0.{zone}')
    stage.store.put('servers/odd', entry(service='shard-0', address=address))

    def missing():
        answer = ask(stage.caller, request('/all/a'))
        assert status_of(answer) == 200
        return split(answer)[0][b'missing-parts']

    wait_until(lambda: missing() == b'1')
    assert missing() == b'1'
    stage.store.remove('servers/odd')
    for zone in ('near', 'far'):
        stage.list_searcher(f'shard-0.{zone}', 'shard-0', zone=zone)
    wait_until(lambda: missing() == b'0')
