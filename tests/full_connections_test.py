"""A VM all of whose connections are held by callers that end no request."""

import contextlib
import time

from basilwall import entry_serving
from tests.entry_stage import (
    ask,
    dial,
    read_to_end,
    request,
    staged,
    status_of,
)


def test_callers_that_never_end_their_requests_leave_room_for_others(
    tmp_path, monkeypatch
):
    monkeypatch.setattr(entry_serving, 'CONNECTION_MEMORY_MB', 3)
    with staged(tmp_path) as stage, contextlib.ExitStack() as stack:
        unended = [
            request('/one/a', method='POST', Content_Length='9') + b'part',
            b'POST /one/a HTTP/1.1\r\nHost: h.example\r\n',
            b'',
        ]
        stalled = []
        for number in range(120):
            stalled.append(stack.enter_context(dial(stage.caller)))
            stalled[-1].sendall(unended[number % len(unended)])
            time.sleep(0.005)
        answers = [
            ask(stage.caller, request('/one/a', f'id-{number}'))
            for number in range(40)
        ]
        assert [status_of(answer) for answer in answers] == [200] * 40
        first = read_to_end(stalled[0])
        assert status_of(first) == 408
        assert b'retry-after' in first.lower()
