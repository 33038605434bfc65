"""Start VMs and stand-ins as processes of their own, and end them."""

import contextlib
import http.client
import json
import os
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from pathlib import Path

from basilwall.standin.deployment import SHAPES_BY_DEPLOYMENT
from basilwall.standin.ports import reserved_ports

HOST = '127.0.0.1'
PATIENCE = 60.0
#: How much of what an ended process said is shown.
LAST_WORDS_BYTES = 2000
KEY = b'a-key-that-only-tests-use-0123456789'


@dataclass
class Reply:
    """One HTTP reply."""

    status: int
    body: bytes
    headers: dict[str, str]

    def json(self):
        """Return the decoded body."""
        return json.loads(self.body)


def http_call(address, method, path, body=b'', headers=None, timeout=10):
    """Make one request on a connection of its own."""
    connection = http.client.HTTPConnection(address, timeout=timeout)
    try:
        connection.request(method, path, body, headers or {})
        response = connection.getresponse()
        return Reply(
            response.status,
            response.read(),
            dict(response.getheaders()),
        )
    finally:
        connection.close()


def wait_until(condition: Callable[[], bool], patience=PATIENCE):
    """Wait on a condition; fail if it doesn't come true in time."""
    end = time.monotonic() + patience
    while time.monotonic() < end:
        with contextlib.suppress(OSError, http.client.HTTPException):
            if condition():
                return
        time.sleep(0.02)
    raise AssertionError('the condition did not come true')


@dataclass
class Vm:
    """One entry VM as a process."""

    settings: Path
    caller: str
    peer: str
    peer_listen: str
    process: subprocess.Popen = None

    def start(self):
        """Start the process and wait until it is ready."""
        self.process = _run('serve', '--settings', str(self.settings))
        wait_until(lambda: _check_running([self.process]) or self.is_ready())

    def is_ready(self):
        """Return whether the balancer may send callers here."""
        return http_call(self.caller, 'GET', '/readyz').status == 200

    def status(self):
        """Return the operators' report."""
        return http_call(self.caller, 'GET', '/statusz').json()

    def call(self, path, body=b'{}', headers=None):
        """Post to the VM; a query has time enough on a busy machine."""
        if path.endswith('/query'):
            headers = {'Request-Timeout-Ms': '5000', **(headers or {})}
        return http_call(self.caller, 'POST', path, body, headers)

    def signal(self, number):
        """Send a signal to the process."""
        os.kill(self.process.pid, number)


@dataclass
class Deployment:
    """The processes of one deployment."""

    name: str
    first_port: int
    platform: str
    vms: list[Vm]
    processes: list[subprocess.Popen] = field(default_factory=list)

    def searchers(self):
        """Return the addresses of all searchers."""
        count = sum(
            shape.instances * shape.searchers
            for shape in SHAPES_BY_DEPLOYMENT[self.name]
        )
        return [f'{HOST}:{self.first_port + i}' for i in range(count)]

    def records(self, kind, service=None):
        """Return what the searchers themselves say that they ran."""
        return [
            record
            for address in self.searchers()
            for record in http_call(address, 'GET', '/records').json()
            if record['kind'] == kind
        ]

    def switch(self, address, **switches):
        """Change switches of a searcher."""
        http_call(address, 'PUT', '/switches', json.dumps(switches).encode())

    def publish(self, key, body):
        """Publish a value and return its revision."""
        reply = http_call(self.platform, 'PUT', f'/v1/values/{key}', body)
        return reply.json()['revision']


def _run(*arguments):
    with tempfile.NamedTemporaryFile(delete=False) as errors:
        process = subprocess.Popen(
            [sys.executable, '-m', 'basilwall', *arguments],
            stdout=subprocess.DEVNULL,
            stderr=errors if not os.environ.get('SHOW_LOGS') else None,
        )
    process.errors = Path(errors.name)
    return process


def _check_running(processes):
    """Fail with the last words of a process that has ended."""
    for process in processes:
        if process.poll() is not None:
            last_words = process.errors.read_bytes()[-LAST_WORDS_BYTES:]
            raise AssertionError(
                f'ended with {process.returncode}: {last_words.decode()}'
            )


def _end(process):
    if process is None:
        return
    if process.poll() is None:
        with contextlib.suppress(ProcessLookupError):
            os.kill(process.pid, signal.SIGCONT)
            process.kill()
        process.wait()
    process.errors.unlink(missing_ok=True)


@contextlib.contextmanager
def deployment(
    name: str,
    folder: Path,
    vms: int = 2,
    service_ms: float = 2,
    processes: int = 2,
    forwarded: bool = False,
    **settings,
) -> Iterator[Deployment]:
    """Run a deployment for the length of a block."""
    shapes = SHAPES_BY_DEPLOYMENT[name]
    count = sum(shape.instances * shape.searchers for shape in shapes)
    with reserved_ports(count + 1 + 3 * vms) as base:
        made = Deployment(name, base, f'{HOST}:{base + count}', [])
        for number in range(vms):
            port = base + count + 1 + 3 * number
            if forwarded:
                settings['peer_listen_address'] = f'{HOST}:{port + 2}'
            made.vms.append(_make_vm(made, folder, number, port, settings))
        try:
            _start(made, service_ms, processes)
            yield made
        finally:
            for process in [vm.process for vm in made.vms] + made.processes:
                _end(process)


def _make_vm(made, folder, number, port, settings):
    key_file = folder / 'ticket.key'
    key_file.write_bytes(KEY)
    content = {
        'caller_address': f'{HOST}:{port}',
        'peer_address': f'{HOST}:{port + 1}',
        'platform_addresses': [made.platform],
        'zone': f'zone-{number}',
        'region': 'region-0',
        'ticket_key_file': str(key_file),
        'stop': {'balancer_lag_s': 0.5},
        **settings,
    }
    path = folder / f'vm-{number}.json'
    path.write_text(json.dumps(content))
    listen = content.get('peer_listen_address', content['peer_address'])
    return Vm(
        path,
        content['caller_address'],
        content['peer_address'],
        listen,
    )


def _start(made, service_ms, processes):
    for place in range(processes):
        made.processes.append(
            _run(
                'standin',
                'searchers',
                f'--deployment={made.name}',
                f'--first-port={made.first_port}',
                f'--service-ms={service_ms}',
                f'--share={processes}',
                f'--place={place}',
            ),
        )
    peers = [f'--vm={vm.peer}' for vm in made.vms]
    made.processes.append(
        _run(
            'standin',
            'platform',
            f'--listen={made.platform}',
            f'--deployment={made.name}',
            f'--first-port={made.first_port}',
            *peers,
        ),
    )
    for address in made.searchers():
        wait_until(
            lambda address=address: (
                _check_running(made.processes)
                or http_call(address, 'GET', '/load').status == 200
            ),
        )
    for vm in made.vms:
        vm.start()
