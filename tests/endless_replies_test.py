"""Searchers that send bytes without end, in a head or in a body."""

import contextlib
import os
import re
import socket
import subprocess
import sys
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import pytest

from basilwall.standin.platform_searcher import Behaviour
from basilwall.standin.ports import reserved_ports
from tests.entry_stage import (
    HOST,
    SHARDS,
    ask,
    dial,
    is_ready,
    node_file,
    request,
    staged,
    status_of,
    wait_until,
)
from tests.forwarder import Forwarder

CALLERS = 16


def seen_ids(stage):
    """Return the ids of the requests that any searcher of a shard saw."""
    return {
        one.header(b'request-id')
        for shard in SHARDS
        for zone in ('near', 'far')
        for one in stage.searcher_by_id[f'{shard}.{zone}'].seen
    }


@pytest.mark.parametrize(
    'behaviour', [Behaviour.ENDLESS_HEAD, Behaviour.ENDLESS_BODY]
)
def test_bytes_without_end_take_bounded_memory_over_all_connections(
    tmp_path, behaviour
):
    with staged(tmp_path) as stage, ThreadPoolExecutor(CALLERS) as pool:
        for shard in SHARDS:
            for zone in ('near', 'far'):
                searcher = stage.searcher_by_id[f'{shard}.{zone}']
                searcher.behaviour = behaviour
        memory = stage.vm.reply_memory
        answers = [
            pool.submit(ask, stage.caller, request('/all/x', f'id-{number}'))
            for number in range(CALLERS * 2)
        ]
        while not all(answer.done() for answer in answers):
            assert memory.used <= memory.limit
        statuses = [status_of(answer.result()) for answer in answers]
        assert set(statuses) <= {502, 503, 504}
        refused = {
            f'id-{number}'.encode()
            for number, status in enumerate(statuses)
            if status == 503
        }
        assert not refused & seen_ids(stage)
        assert status_of(ask(stage.caller, request('/one/a'))) == 200
        wait_until(lambda: not memory.used)


@pytest.mark.parametrize(
    'behaviour', [Behaviour.ENDLESS_HEAD, Behaviour.ENDLESS_BODY]
)
def test_a_request_is_served_by_another_searcher(tmp_path, behaviour):
    with staged(tmp_path) as stage:
        stage.searcher_by_id['single.near'].behaviour = behaviour
        for number in range(5):
            raw = request('/one/a', request_id=f'id-{number}')
            assert status_of(ask(stage.caller, raw)) == 200


ENDLESS = [
    behaviour
    for behaviour in Behaviour
    if behaviour.value.startswith('endless_')
]
#: What a VM process may grow by: its memory for replies is 60 MB.
MAX_GROWTH_MB = 80


@pytest.fixture(name='vm_process')
def _vm_process(tmp_path):
    """Run a VM as a process of its own beside a stage.

    Yields:
        The stage, the address for callers and the process.
    """
    folder = tmp_path / 'process'
    folder.mkdir()
    with staged(tmp_path) as stage, reserved_ports(5) as base:
        ports = [f'{HOST}:{base + number}' for number in range(5)]
        way = Forwarder(ports[4], stage.store.address)
        path = node_file(folder, [ports[4], *ports[:4]])
        process = subprocess.Popen(
            [sys.executable, '-m', 'basilwall.entry'],
            env={**os.environ, 'BASILWALL_NODE_FILE': str(path)},
            stdout=subprocess.DEVNULL,
        )
        try:
            wait_until(lambda: is_ready(ports[1]))
            yield stage, ports[0], process
        finally:
            process.kill()
            process.wait()
            way.close()


def resident_mb(process):
    """Return the resident memory of a process."""
    text = Path(f'/proc/{process.pid}/status').read_text()
    return int(re.search(r'VmRSS:\s+(\d+)', text)[1]) / 1024


def test_a_process_that_is_sent_bytes_without_end_keeps_its_size(vm_process):
    stage, caller, process = vm_process
    assert status_of(ask(caller, request('/one/a'))) == 200
    idle_mb = most_mb = resident_mb(process)
    with ThreadPoolExecutor(CALLERS) as pool:
        for number, behaviour in enumerate(ENDLESS * 2):
            for searcher in stage.searcher_by_id.values():
                searcher.behaviour = behaviour
            answers = [
                pool.submit(ask, caller, request(path, f'id-{number}-{place}'))
                for place, path in enumerate(['/one/a', '/all/a'] * CALLERS)
            ]
            while not all(answer.done() for answer in answers):
                most_mb = max(most_mb, resident_mb(process))
                time.sleep(0.01)
            statuses = {status_of(answer.result()) for answer in answers}
            assert statuses <= {502, 503, 504}
    assert most_mb - idle_mb <= MAX_GROWTH_MB


def test_answers_that_nobody_reads_leave_room_for_other_callers(vm_process):
    stage, caller, process = vm_process
    for zone in ('near', 'far'):
        stage.searcher_by_id[f'single.{zone}'].body = bytes(4_000_000)
    idle_mb = resident_mb(process)
    with contextlib.ExitStack() as stack:
        for number in range(100):
            connection = stack.enter_context(dial(caller))
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            connection.sendall(request('/one/a', f'large-{number}'))
        for number in range(30):
            answer = ask(caller, request('/all/x', f'id-{number}'))
            assert status_of(answer) == 200
            assert resident_mb(process) - idle_mb <= MAX_GROWTH_MB
            time.sleep(0.05)
