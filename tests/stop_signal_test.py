"""Signals to stop that come at a bad moment, or to another thread."""

import os
import subprocess
import sys

import pytest

from basilwall.standin.ports import reserved_ports
from tests.entry_stage import HOST, node_file

#: Bound of the planned stop with its lag of the balancer, in seconds.
STOP_SECONDS = 30
#: The signal comes while the main thread holds the lock of the event that it is
#: about to wait for.
AS_IT_BEGINS_TO_WAIT = """
        with event._cond:
            os.kill(os.getpid(), signal.SIGTERM)
            for _ in range(1000):
                pass
"""
#: The system gives the signal to another thread while the main thread waits.
TO_ANOTHER_THREAD = """
        def take_signal():
            time.sleep(0.5)
            signal.pthread_kill(threading.get_ident(), signal.SIGTERM)
        threading.Thread(target=take_signal, daemon=True).start()
"""
#: Runs the command line; the signal is sent as the main thread waits for it.
PROGRAM = """
import os, signal, sys, threading, time

wait = threading.Event.wait

def wait_and_stop(event, timeout=None):
    is_main = threading.current_thread() is threading.main_thread()
    # Threads that start are waited for in the same way.
    is_start = sys._getframe(1).f_code.co_filename == threading.__file__
    if is_main and timeout is None and not is_start:
{signal}
    return wait(event, timeout)

threading.Event.wait = wait_and_stop
from basilwall.cli import main
main()
"""


@pytest.mark.parametrize('command', ['demo', 'standin', 'entry'])
@pytest.mark.parametrize(
    'signalled',
    [AS_IT_BEGINS_TO_WAIT, TO_ANOTHER_THREAD],
    ids=['as it begins to wait', 'to another thread'],
)
def test_a_stop_requested_while_the_main_thread_waits_is_not_lost(
    command, signalled, tmp_path
):
    with reserved_ports(5) as port:
        ports = [f'{HOST}:{port + number}' for number in range(5)]
        arguments = {
            'demo': ['demo', '--stay', f'--port={port}'],
            'standin': ['standin', 'platform', f'--listen={ports[0]}'],
            'entry': ['entry'],
        }
        program = PROGRAM.replace('{signal}', signalled)
        settings = {'BASILWALL_NODE_FILE': str(node_file(tmp_path, ports))}
        process = subprocess.run(
            [sys.executable, '-c', program, *arguments[command]],
            env=os.environ | settings,
            capture_output=True,
            text=True,
            timeout=STOP_SECONDS,
        )
    assert process.returncode == 0, process.stderr
