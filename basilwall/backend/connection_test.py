"""Connections over real sockets to a server that damages its replies."""

import contextlib
import json
import socket
import struct
import threading
import time
from dataclasses import dataclass

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from basilwall.backend.connection import ConnectError, SearcherConnection
from basilwall.records.attempt import (
    Answered,
    AttemptRequest,
    MayHaveRun,
    NotRun,
    OutcomeTag,
    RequestKind,
)

TIMEOUT = 5.0
RESET = struct.pack('ii', 1, 0)
LOST = OutcomeTag.LOST


@dataclass
class Damage:
    """Damage to one reply; `share` is its relative position in the reply."""

    name: str
    share: float = 0.5


def reply_body(attempt_id, **changes):
    body = {
        'outcome': 'answered',
        'attempt_id': attempt_id,
        'snapshot': 's1',
        'records': [attempt_id, 'ámbar'],
        'covered': 2,
        'total': 2,
    }
    return json.dumps(body | changes, ensure_ascii=False).encode()


def with_length(body, length=None, status=200, head=b''):
    size = len(body) if length is None else length
    start = b'HTTP/1.1 %d x\r\n%sContent-Length: %d\r\n\r\n'
    return start % (status, head, size) + body


def chunked(body, size=7):
    parts = [body[at : at + size] for at in range(0, len(body), size)]
    raw = b''.join(b'%x\r\n%s\r\n' % (len(part), part) for part in parts)
    head = b'HTTP/1.1 200 x\r\nTransfer-Encoding: chunked\r\n\r\n'
    return head + raw + b'0\r\n\r\n'


def cut(raw, share):
    return raw[: int((len(raw) - 1) * share)]


def until_close(body):
    return b'HTTP/1.1 200 x\r\nConnection: close\r\n\r\n' + body


# Each function takes the body for this attempt, the share and the id of the
# previous attempt, and returns the bytes to send. Replies of the first group
# must be answers, those of the second group must count as lost.
VALID_REPLIES = {
    'whole': lambda body, share, previous_id: with_length(body),
    'continued': lambda body, share, previous_id: (
        b'HTTP/1.1 100 x\r\n\r\n' + with_length(body)
    ),
    'chunked': lambda body, share, previous_id: chunked(body),
    'doubled': lambda body, share, previous_id: with_length(body) * 2,
    'close-delimited': lambda body, share, previous_id: until_close(body),
}
DAMAGED_REPLIES = {
    'cut': lambda body, share, previous_id: cut(with_length(body), share),
    'reset': lambda body, share, previous_id: cut(with_length(body), share),
    'chunked-cut': lambda body, share, previous_id: cut(chunked(body), share),
    'close-cut': lambda body, share, previous_id: cut(until_close(body), share),
    'length-more': lambda body, share, previous_id: with_length(
        body,
        len(body) + 1 + int(9 * share),
    ),
    'length-less': lambda body, share, previous_id: with_length(
        body,
        int(len(body) * share),
    ),
    'swapped': lambda body, share, previous_id: with_length(
        reply_body(previous_id)
    ),
    'failed-status': lambda body, share, previous_id: with_length(
        body, status=503
    ),
    'early-hints': lambda body, share, previous_id: (
        b'HTTP/1.1 103 x\r\n\r\n' + with_length(body)
    ),
    'huge-header': lambda body, share, previous_id: with_length(
        body,
        head=b'X: %s\r\n' % (b'x' * 70_000),
    ),
    'many-headers': lambda body, share, previous_id: with_length(
        body,
        head=b'X: y\r\n' * 120,
    ),
    'no-array': lambda body, share, previous_id: with_length(
        body.replace(b'[', b'{"a":').replace(b', "\xc3', b',"b":"\xc3')[:-1]
        + b'}',
    ),
    'no-utf8': lambda body, share, previous_id: with_length(
        body.replace(b'\xc3\xa1', b'\xff'),
    ),
    'negative': lambda body, share, previous_id: with_length(
        body.replace(b'2}', b'-2}'),
    ),
    'claims-lost': lambda body, share, previous_id: with_length(
        body.replace(b'answered', b'lost'),
        status=503,
    ),
    'claims-not-sent': lambda body, share, previous_id: with_length(
        body.replace(b'answered', b'not_sent'),
        status=503,
    ),
    'shed-as-success': lambda body, share, previous_id: with_length(
        body.replace(b'answered', b'shed'),
    ),
}
KEPT_OPEN = {'whole', 'continued', 'chunked', 'doubled', 'swapped'}


def address_of(listener):
    return f'127.0.0.1:{listener.getsockname()[1]}'


class Server:
    """Replies to each attempt with the damage registered for it."""

    def __init__(self):
        self.damage_by_attempt = {}
        self.previous_id = 'nobody'
        self.reached = threading.Event()
        self._listener = socket.create_server(('127.0.0.1', 0))
        self.address = address_of(self._listener)
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            accepted, _ = self._listener.accept()
            threading.Thread(
                target=self._serve,
                args=(accepted,),
                daemon=True,
            ).start()

    def _serve(self, accepted):
        with accepted, accepted.makefile('rb') as stream:
            while True:
                attempt_id = self._read(stream)
                if attempt_id is None:
                    return
                self.reached.set()
                damage = self.damage_by_attempt.pop(attempt_id, None)
                if damage and not self._replied(accepted, damage, attempt_id):
                    return

    def _replied(self, accepted, damage, attempt_id):
        with contextlib.suppress(OSError):
            return self._reply(accepted, damage, attempt_id)
        return False

    def _read(self, stream):
        lines = [stream.readline()]
        while lines[-1] not in {b'\r\n', b''}:
            lines.append(stream.readline())
        if not lines[-1]:
            return None
        by_name = dict(line.strip().split(b': ', 1) for line in lines[1:-1])
        stream.read(int(by_name[b'Content-Length']))
        return by_name[b'Attempt-Id'].decode()

    def _reply(self, accepted, damage, attempt_id):
        make = (VALID_REPLIES | DAMAGED_REPLIES).get(damage.name)
        if make is None:
            return damage.name(accepted, attempt_id)
        raw = make(reply_body(attempt_id), damage.share, self.previous_id)
        self.previous_id = attempt_id
        accepted.sendall(raw)
        if damage.name == 'reset':
            accepted.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        return damage.name in KEPT_OPEN


@pytest.fixture(scope='module')
def server():
    return Server()


def request_of(attempt_id):
    return AttemptRequest(
        service='depot-desk',
        instance='depot-desk-0',
        kind=RequestKind.IDEMPOTENT,
        request_id='the-same-for-all',
        attempt_id=attempt_id,
        snapshot='s1',
        body=b'{}',
        deadline=0,
    )


damages = st.builds(
    Damage,
    st.sampled_from(sorted(VALID_REPLIES | DAMAGED_REPLIES)),
    st.floats(0, 0.99),
)


@settings(deadline=None)
@given(st.lists(damages, min_size=1, max_size=8))
def test_attempt_gets_its_own_complete_reply_or_fails(server, damages_drawn):
    connection = SearcherConnection(server.address)
    previous_name = ''
    for number, damage in enumerate(damages_drawn):
        request = request_of(f'{time.monotonic_ns()}.{number}')
        server.damage_by_attempt[request.attempt_id] = damage
        connection.open(TIMEOUT)
        outcome = connection.exchange(request, TIMEOUT)
        if isinstance(outcome, Answered):
            records = json.loads(outcome.records)
            assert records == [request.attempt_id, 'ámbar'], damage
            assert damage.name in VALID_REPLIES
            assert (outcome.records_covered, outcome.records_total) == (2, 2)
        elif damage.name in VALID_REPLIES:
            assert previous_name == 'doubled', (previous_name, damage, outcome)
        else:
            assert isinstance(outcome, MayHaveRun), damage
            assert outcome.tag is LOST, (damage, outcome)
            assert not connection.is_open
        previous_name = damage.name
    connection.close()


@pytest.mark.parametrize('tag', ['shed', 'leaving', 'wrong_snapshot'])
def test_refusal_of_searcher_means_not_run(server, tag):
    connection = SearcherConnection(server.address)
    connection.open(TIMEOUT)

    def refuse(accepted, attempt_id):
        body = reply_body(attempt_id, outcome=tag, serves=['s2'])
        accepted.sendall(with_length(body, status=503))

    server.damage_by_attempt['a'] = Damage(refuse)
    outcome = connection.exchange(request_of('a'), TIMEOUT)
    assert isinstance(outcome, NotRun)
    assert (outcome.tag.value, outcome.held_snapshots) == (tag, ('s2',))


def test_surplus_reply_is_not_used_for_next_attempt(server):
    connection = SearcherConnection(server.address)
    connection.open(TIMEOUT)

    def reply_twice(accepted, attempt_id):
        accepted.sendall(
            with_length(reply_body('former')) + with_length(reply_body('b')),
        )
        return True

    server.damage_by_attempt['a'] = Damage('whole')
    assert isinstance(connection.exchange(request_of('a'), TIMEOUT), Answered)
    server.damage_by_attempt['b'] = Damage(reply_twice)
    outcome = connection.exchange(request_of('b'), TIMEOUT)
    assert isinstance(outcome, MayHaveRun)
    assert not connection.is_open


def test_slow_trickled_reply_ends_at_deadline(server):
    connection = SearcherConnection(server.address)
    connection.open(TIMEOUT)

    def trickle(accepted, attempt_id):
        for byte in with_length(reply_body(attempt_id)):
            accepted.sendall(bytes([byte]))
            time.sleep(0.02)

    server.damage_by_attempt['a'] = Damage(trickle)
    started = time.monotonic()
    outcome = connection.exchange(request_of('a'), 0.1)
    assert time.monotonic() - started < 1
    assert (type(outcome), outcome.tag) == (MayHaveRun, OutcomeTag.LATE)


def test_abort_does_not_affect_next_attempt(server):
    connection = SearcherConnection(server.address)
    connection.open(TIMEOUT)
    first, second = request_of('first'), request_of('second')
    connection.begin_attempt(first)
    server.damage_by_attempt['first'] = Damage('whole')
    assert isinstance(connection.exchange(first, TIMEOUT), Answered)
    connection.end_attempt()
    connection.begin_attempt(second)
    connection.abort(first)
    server.damage_by_attempt['second'] = Damage('whole')
    assert isinstance(connection.exchange(second, TIMEOUT), Answered)


def test_abort_ends_its_own_attempt(server):
    connection = SearcherConnection(server.address)
    connection.open(TIMEOUT)
    request = request_of('a')
    connection.begin_attempt(request)
    server.reached.clear()
    aborter = threading.Thread(
        target=lambda: (server.reached.wait(), connection.abort(request)),
    )
    aborter.start()
    started = time.monotonic()
    outcome = connection.exchange(request, TIMEOUT)
    aborter.join()
    assert time.monotonic() - started < TIMEOUT / 2
    assert outcome.tag is LOST


def test_unencodable_header_is_not_sent(server):
    connection = SearcherConnection(server.address)
    connection.open(TIMEOUT)
    outcome = connection.exchange(request_of('срез'), TIMEOUT)
    assert isinstance(outcome, NotRun)
    assert outcome.tag is OutcomeTag.NOT_SENT


def test_refused_connection_raises_connect_error():
    with socket.create_server(('127.0.0.1', 0)) as listener:
        address = address_of(listener)
    with pytest.raises(ConnectError):
        SearcherConnection(address).open(1)
