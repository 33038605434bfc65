"""Each request that was read is answered, and its answer is unchanged."""

import http.client
import io
import socket
import threading

import pytest
from hypothesis import given
from hypothesis import strategies as st

from basilwall.ingress.open_connections import OpenConnections
from basilwall.ingress.request_memory import RequestMemory
from basilwall.ingress.sending import AnswerSender
from basilwall.ingress.server import Ingress
from basilwall.parts.clock import SystemClock
from basilwall.platform.codec import HeaderCodec
from basilwall.records.forwarding import Answer, Verdict
from basilwall.records.routes import CallerLimits

REQUEST = b'GET /a HTTP/1.1\r\nHost: a\r\nRequest-Id: r-1\r\n\r\n'
NOT_RUN = Answer(Verdict.FAILED, 503, retry_after=0.5)
GIVEN_UP = Answer(Verdict.LOST, 502, retry_after=0.5)
ANSWER = Answer(Verdict.ANSWERED, 200, b'body', headers=((b'X', b'y'),))


class Forwarder:
    """Answers each request alike."""

    def __init__(self, answer=ANSWER):
        self.answer = answer

    def serve(self, *_):
        return self.answer

    def failure(self, *, may_have_run):
        return GIVEN_UP if may_have_run else NOT_RUN

    def record_sent(self, _):
        """Record nothing."""


class Received(io.BytesIO):
    """Bytes in the form in which http.client reads them."""

    def makefile(self, *_):
        return self

    def close(self):
        """Stay open: another answer may follow."""


def read_answers(stream):
    """Return the answers that make up a stream."""
    answers = []
    received = Received(stream)
    while received.tell() < len(stream):
        answer = http.client.HTTPResponse(received)
        answer.begin()
        answers.append((answer, answer.read()))
    return answers


def exchange(forwarder, codec, requests=2):
    """Send requests on one connection and return the answers."""
    clock = SystemClock()
    sender = AnswerSender(clock, bool)
    memory = RequestMemory(1_000_000)
    connections = OpenConnections(9, clock)
    ingress = Ingress(
        forwarder, codec, CallerLimits, clock, connections, sender, memory
    )
    with socket.create_server(('127.0.0.1', 0)) as listener:
        caller = socket.create_connection(listener.getsockname())
        vm, _ = listener.accept()
    with caller:
        thread = threading.Thread(target=ingress.serve, args=(vm,))
        thread.start()
        caller.sendall(REQUEST * requests)
        caller.shutdown(socket.SHUT_WR)
        stream = b''
        while chunk := caller.recv(65536):
            stream += chunk
        thread.join()
    return read_answers(stream)


def fail_once(part, name):
    """Let a method of a part fail the first time that it is called."""
    method = getattr(part, name)
    failures = [RuntimeError('injected')]

    def run(*args, **kwargs):
        if failures:
            raise failures.pop()
        return method(*args, **kwargs)

    setattr(part, name, run)


@pytest.mark.parametrize(
    ('is_in_codec', 'name', 'status'),
    [
        (True, 'decode_request', NOT_RUN.status),
        (True, 'encode_headers', GIVEN_UP.status),
        (False, 'serve', GIVEN_UP.status),
        (False, 'record_sent', ANSWER.status),
    ],
)
def test_an_error_at_any_step_ends_in_an_answer_and_not_the_connection(
    is_in_codec, name, status
):
    forwarder, codec = Forwarder(), HeaderCodec()
    fail_once(codec if is_in_codec else forwarder, name)
    answers = exchange(forwarder, codec)
    assert [answer.status for answer, _ in answers] == [status, ANSWER.status]


def test_an_answer_that_can_not_be_encoded_at_all_has_a_bare_final_answer():
    codec = HeaderCodec()
    codec.encode_headers = lambda *_: [(b'bad name', b'')]
    answers = exchange(Forwarder(), codec, requests=1)
    assert [answer.status for answer, _ in answers] == [GIVEN_UP.status]


HEADER_NAMES = st.from_regex(rb'\Ax-[a-z0-9-]{1,12}\Z')
VISIBLE = st.text(
    st.characters(min_codepoint=0x21, max_codepoint=0x7E), min_size=1
).map(str.encode)


@given(
    status=st.integers(min_value=200, max_value=999).filter(
        lambda status: status not in {204, 304}
    ),
    reason=st.from_regex(rb'\A[ -~]{0,20}\Z').map(bytes.strip),
    headers=st.lists(st.tuples(HEADER_NAMES, VISIBLE), max_size=4),
    body=st.binary(max_size=50),
)
def test_any_final_status_with_any_reason_and_header_passes_unchanged(
    status, reason, headers, body
):
    answer = Answer(
        Verdict.PASSED_ON, status, body, reason, headers=tuple(headers)
    )
    [(received, received_body)] = exchange(
        Forwarder(answer), HeaderCodec(), requests=1
    )
    assert (received.status, received_body) == (status, body)
    if reason:
        assert received.reason == reason.decode()
    got = [
        (name.lower().encode(), text.encode())
        for name, text in received.getheaders()
        if name.lower().startswith('x-')
    ]
    assert got == headers
