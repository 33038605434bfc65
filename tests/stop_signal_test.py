"""A signal that arrives at the moment at which the main thread waits."""

import os
import subprocess
import sys

import pytest

from basilwall.standin.ports import reserved_ports
from tests.entry_stage import HOST, node_file

#: Bound of the planned stop with its lag of the balancer, in seconds.
STOP_SECONDS = 30
#: Runs the command line; SIGTERM comes while the main thread holds the lock of
#: the event that it is about to wait for.
PROGRAM = """
import os, signal, sys, threading

wait = threading.Event.wait

def wait_and_stop(event, timeout=None):
    is_main = threading.current_thread() is threading.main_thread()
    # Threads that start are waited for in the same way.
    is_start = sys._getframe(1).f_code.co_filename == threading.__file__
    if is_main and timeout is None and not is_start:
        with event._cond:
            os.kill(os.getpid(), signal.SIGTERM)
            for _ in range(1000):
                pass
    return wait(event, timeout)

threading.Event.wait = wait_and_stop
from basilwall.cli import main
main()
"""


@pytest.mark.parametrize('command', ['demo', 'standin', 'entry'])
def test_a_stop_requested_as_the_main_thread_begins_to_wait_is_not_lost(
    command, tmp_path
):
    with reserved_ports(5) as port:
        ports = [f'{HOST}:{port + number}' for number in range(5)]
        arguments = {
            'demo': ['demo', '--stay', f'--port={port}'],
            'standin': ['standin', 'platform', f'--listen={ports[0]}'],
            'entry': ['entry'],
        }
        settings = {'BASILWALL_NODE_FILE': str(node_file(tmp_path, ports))}
        process = subprocess.run(
            [sys.executable, '-c', PROGRAM, *arguments[command]],
            env=os.environ | settings,
            capture_output=True,
            text=True,
            timeout=STOP_SECONDS,
        )
    assert process.returncode == 0, process.stderr
