"""Signals at many moments of the start of a VM process, and of its stop."""

import json
import os
import signal
import socket
import subprocess
import sys
import time

import pytest

from basilwall import entry_vm
from basilwall.standin.metadata_store import MetadataStore
from basilwall.standin.ports import reserved_ports
from tests.entry_stage import (
    HOST,
    is_ready,
    node_file,
    staged,
    table,
    wait_until,
)
from tests.processes import KEY

#: Bound of a planned stop, in seconds.
STOP_SECONDS = 30
#: Time from one moment to the next one, in a start that takes 0.5 to 1 s.
STEP_SECONDS = 0.06
MOMENTS = 12
#: Waits until the first line of the program has run.
WRAPPER = """
import runpy, sys
from basilwall.parts import early_signals
handle = early_signals.handle_early_signals
def handle_and_tell():
    handle()
    print('handled', flush=True)
early_signals.handle_early_signals = handle_and_tell
sys.argv = sys.argv[1:]
runpy.run_module(sys.argv[0], run_name='__main__', alter_sys=True)
"""


class VmProcess:
    """The process of one VM, started as its command line is."""

    def __init__(self, folder, ports, command):
        self.ready = ports[2]
        path = node_file(folder, ports)
        arguments = {
            'entry': ['basilwall.entry'],
            'serve': ['basilwall', 'serve', '--settings', str(path)],
        }[command]
        if command == 'serve':
            key_file = folder / 'ticket.key'
            key_file.write_bytes(KEY)
            settings = {
                'caller_address': ports[1],
                'peer_address': ports[3],
                'platform_addresses': [ports[0]],
                'zone': 'near',
                'region': 'here',
                'ticket_key_file': str(key_file),
                'stop': {'balancer_lag_s': 0.1},
            }
            path.write_text(json.dumps(settings))
        self.process = subprocess.Popen(
            [sys.executable, '-c', WRAPPER, *arguments],
            env={**os.environ, 'BASILWALL_NODE_FILE': str(path)},
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
        )
        assert self.process.stdout.readline() == b'handled\n'

    def end(self):
        """Kill the process if it runs."""
        if self.process.poll() is None:
            self.process.kill()
        self.process.communicate()


@pytest.fixture(name='ports')
def _ports():
    with reserved_ports(5) as base:
        ports = [f'{HOST}:{base + number}' for number in range(5)]
        store = MetadataStore(ports[0])
        store.start()
        store.put('op/config', table())
        yield ports
        store.stop()


@pytest.mark.parametrize('command', ['entry', 'serve'])
def test_a_changed_settings_signal_at_any_moment_of_the_start_ends_no_process(
    command, tmp_path, ports
):
    vm = VmProcess(tmp_path, ports, command)
    try:
        for _ in range(MOMENTS):
            vm.process.send_signal(signal.SIGHUP)
            time.sleep(STEP_SECONDS)
        assert vm.process.poll() is None
        if command == 'entry':
            wait_until(lambda: is_ready(vm.ready))
    finally:
        vm.end()


@pytest.mark.parametrize('command', ['entry', 'serve'])
@pytest.mark.parametrize('number', range(MOMENTS))
def test_a_stop_at_any_moment_of_the_start_ends_the_process_in_order(
    command, number, tmp_path, ports
):
    vm = VmProcess(tmp_path, ports, command)
    try:
        time.sleep(number * STEP_SECONDS)
        vm.process.send_signal(signal.SIGHUP)
        for _ in range(1 + number % 2):
            vm.process.send_signal(signal.SIGTERM)
        vm.process.send_signal(signal.SIGHUP)
        vm.process.communicate(timeout=STOP_SECONDS)
        assert vm.process.returncode == 0
    finally:
        vm.end()


def test_a_vm_that_says_that_it_is_ready_accepts_callers(monkeypatch, tmp_path):
    refused = []
    serve_endpoints = entry_vm.endpoint_server

    def connect_first(address, endpoints):
        settings = json.loads((tmp_path / 'node.json').read_text())
        host, _, port = settings['listen']['front'].rpartition(':')
        try:
            socket.create_connection((host, int(port))).close()
        except ConnectionRefusedError:
            refused.append(address)
        return serve_endpoints(address, endpoints)

    monkeypatch.setattr(entry_vm, 'endpoint_server', connect_first)
    with staged(tmp_path):
        assert not refused
