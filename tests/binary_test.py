"""The one binary: it serves as a single process."""

import json
import os
import signal
import subprocess
import sys
from pathlib import Path

import pytest

from basilwall.standin.ports import reserved_ports
from tests.processes import HOST, KEY, http_call, wait_until

ROOT = Path(__file__).parents[1]


def _children(pid):
    """Return the ids of the processes that `pid` started."""
    tasks = Path(f'/proc/{pid}/task').iterdir()
    return [
        child
        for task in tasks
        for child in (task / 'children').read_text().split()
    ]


@pytest.fixture
def port():
    with reserved_ports(2) as first:
        yield first


def test_the_binary_serves_as_one_process(tmp_path, port):
    binary = tmp_path / 'basilwall'
    build = [sys.executable, '-m', 'pex', str(ROOT), '-c', 'basilwall']
    subprocess.run([*build, '-o', str(binary)], check=True)
    key_file = tmp_path / 'ticket.key'
    key_file.write_bytes(KEY)
    caller = f'{HOST}:{port}'
    settings = tmp_path / 'vm.json'
    settings.write_text(
        json.dumps(
            {
                'caller_address': caller,
                'peer_address': f'{HOST}:{port + 1}',
                'platform_addresses': [f'{HOST}:1'],
                'zone': 'zone-0',
                'region': 'region-0',
                'ticket_key_file': str(key_file),
                'stop': {'balancer_lag_s': 0},
            },
        ),
    )
    command = [str(binary), 'serve', '--settings', str(settings)]
    process = subprocess.Popen(
        command,
        env={**os.environ, 'PEX_ROOT': str(tmp_path / 'unpacked')},
    )
    try:
        wait_until(lambda: http_call(caller, 'GET', '/livez').status == 200)
        assert not _children(process.pid)
        process.send_signal(signal.SIGTERM)
        assert process.wait(timeout=30) == 0
    finally:
        process.kill()
        process.wait()
