"""A whole session on the wire of the users' platform, byte by byte.

Written down are the callers' requests, what searchers got of them, and the
answers. Times that are left differ with each run and stand as a word.
"""

import re
from pathlib import Path

from basilwall.standin.platform_searcher import Behaviour
from tests.entry_stage import ZONES, ask, request, staged

GOLDEN = Path(__file__).parent / 'golden' / 'platform.txt'
ALL_SERVICES = ('single', 'shard-0', 'shard-1', 'shard-2', 'shard-3')
#: What stands for a value that differs with each run.
_VARYING = (
    (rb'(Request-Deadline-Ms: )\d+', rb'\1LEFT'),
    (rb'(Retry-After: )[\d.]+', rb'\1SECONDS'),
)


def set_conduct(stage, service, conduct):
    for zone in ZONES:
        stage.searcher_by_id[f'{service}.{zone}'].behaviour = conduct


def show(raw):
    """Return bytes as lines, records as numbers."""
    for pattern, word in _VARYING:
        raw = re.sub(pattern, word, raw)
    head, _, body = raw.partition(b'\r\n\r\n')
    lines = head.decode('latin-1').split('\r\n')
    if body and len(body) % 16 == 0:
        records = [body[at : at + 16] for at in range(0, len(body), 16)]
        numbers = [str(int.from_bytes(one, 'big')) for one in records]
        return [*lines, f'(records {" ".join(numbers)})']
    return [*lines, *([repr(body)] if body else [])]


def received(stage):
    """Return what searchers got, sorted: they are asked at once."""
    got = []
    for name, searcher in stage.searcher_by_id.items():
        for one in searcher.seen:
            lines = [f'{one.method.decode()} {one.target.decode()}']
            headers = dict(one.headers)
            headers.pop(b'expect-instance')
            headers[b'request-deadline-ms'] = b'LEFT'
            lines += [
                f'{key.decode()}: {text.decode()}'
                for key, text in sorted(headers.items())
            ]
            service = name.split('.')[0]
            got.append(
                (service, *lines, *([repr(one.body)] if one.body else []))
            )
        searcher.seen.clear()
    return sorted(set(got))


def step(stage, title, raw):
    """Return the lines of one request and all that it led to."""
    answer = ask(stage.caller, raw)
    lines = [f'== {title}', *show(raw), '->']
    for service, *got in received(stage):
        lines += [f'  {service}: {got[0]}', *(f'    {one}' for one in got[1:])]
    return [*lines, '->', *show(answer), '']


def session(stage):
    """Return the lines of a session."""
    lines = step(stage, 'one searcher', request('/one/%41?q=1', 'id-1'))
    lines += step(stage, 'all shards', request('/all/q', 'id-2'))
    lines += step(
        stage,
        'a body goes on',
        request('/once/a', 'id-3', method='POST', body=b'order', X_Own='kept'),
    )
    lines += step(stage, 'no route', request('/none/', 'id-4'))
    set_conduct(stage, 'single', Behaviour.SHED)
    lines += step(
        stage,
        'no searcher has room',
        request('/once/b', 'id-5', method='POST', body=b'order'),
    )
    set_conduct(stage, 'single', Behaviour.CUT_SHORT)
    lines += step(
        stage,
        'the reply is cut short',
        request('/once/c', 'id-6', method='POST', body=b'order'),
    )
    set_conduct(stage, 'shard-3', Behaviour.FAIL)
    lines += step(stage, 'a shard fails', request('/all/r', 'id-7'))
    set_conduct(stage, 'shard-2', Behaviour.FAIL)
    lines += step(stage, 'two shards fail', request('/all/s', 'id-8'))
    lines += step(
        stage,
        'two lengths',
        b'POST /one/ HTTP/1.1\r\nHost: h.example\r\nContent-Length: 1\r\n'
        b'Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n',
    )
    return lines


def test_a_session_reads_as_the_golden_file(tmp_path):
    with staged(tmp_path) as stage:
        for service in ALL_SERVICES:
            # Both searchers of a service answer alike, whichever is asked.
            near, far = (
                stage.searcher_by_id[f'{service}.{zone}'] for zone in ZONES
            )
            near.signature = far.signature = signature_of(service)
        assert '\n'.join(session(stage)) == GOLDEN.read_text()


def signature_of(service):
    return lambda request_id: b'%b.%b' % (service.encode(), request_id)
