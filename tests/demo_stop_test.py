"""The demo as a process: stopped under load, and sent too large a body."""

import contextlib
import os
import signal
import subprocess
import sys
import threading
import time

import pytest

from basilwall.standin.ports import reserved_ports
from tests.entry_stage import ask, dial, status_of
from tests.processes import http_call, wait_until

HOST = '127.0.0.1'
CALLERS = 8
#: Bound of the planned stop with its lag of the balancer, in seconds.
STOP_SECONDS = 30
QUERY = (
    b'POST /v1/services/depot-desk/query HTTP/1.1\r\nHost: a\r\n'
    b'Request-Timeout-Ms: 5000\r\nConnection: close\r\n'
    b'Content-Length: 2\r\n\r\n{}'
)


@contextlib.contextmanager
def running_demo():
    with reserved_ports(1) as port:
        process = subprocess.Popen(
            [
                sys.executable,
                '-m',
                'basilwall',
                'demo',
                '--stay',
                f'--port={port}',
            ],
            stdout=subprocess.DEVNULL,
            stderr=subprocess.DEVNULL,
        )
        address = f'{HOST}:{port}'
        try:
            wait_until(
                lambda: http_call(address, 'GET', '/readyz').status == 200,
            )
            yield process, address
        finally:
            if process.poll() is None:
                process.kill()
            process.wait()


def call_until(address, ends_at, outcomes):
    while time.monotonic() < ends_at:
        try:
            outcomes.append(status_of(ask(address, QUERY)))
        except ConnectionRefusedError:
            return
        except OSError as error:
            outcomes.append(repr(error))


@pytest.mark.parametrize('trial', range(3))
def test_a_stop_under_load_ends_and_cuts_off_nobody(trial):
    with running_demo() as (process, address):
        outcomes = []
        ends_at = time.monotonic() + 12
        callers = [
            threading.Thread(
                target=call_until, args=(address, ends_at, outcomes)
            )
            for _ in range(CALLERS)
        ]
        for caller in callers:
            caller.start()
        time.sleep(1)
        os.kill(process.pid, signal.SIGTERM)
        process.wait(timeout=STOP_SECONDS)
        for caller in callers:
            caller.join()
    assert len(outcomes) > CALLERS
    # An end with no bytes is 0: a connection that was taken and cut off.
    assert [one for one in outcomes if one not in {200, 503}] == []


def test_a_caller_that_says_nothing_does_not_hold_up_a_stop():
    with running_demo() as (process, address):
        with dial(address):
            os.kill(process.pid, signal.SIGTERM)
            process.wait(timeout=STOP_SECONDS)
        assert process.returncode == 0


def test_a_caller_can_read_that_its_body_was_too_large():
    body = b'x' * 8_000_000
    head = (
        'POST /v1/services/depot-desk/query HTTP/1.1\r\nHost: a\r\n'
        f'Content-Length: {len(body)}\r\n\r\n'
    )
    with running_demo() as (_, address):
        answer = ask(address, head.encode() + body)
    assert status_of(answer) == 413
