"""Stand-ins on loopback for the cases from 6 on.

A store, searchers and clients that follow the users' pages, on threads of the
case's own process, and the VMs, which are processes of the project's program.
Only the standard library is used.
"""

import base64
import contextlib
import http.client
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Callable
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlsplit

ROOT = pathlib.Path(__file__).resolve().parent.parent
#: The bounds of sites/jamr-search.toml, as its settings file shows them.
BOUNDS = {
    'seed_lag_s': 3,
    'addr_reuse_s': 2,
    'stable_ms': 5000,
    'ack_timeout_ms': 6000,
    'catch_up_s': 4,
    'drain_ms': 4000,
    'grace_s': 6,
    'loss_slack_ms': 200,
    'config_apply_ms': 4000,
    'downgrade_ms': 250,
    'max_stretch_ms': 15000,
    'retry_budget_ratio': 0.2,
    'budget_window_s': 10,
    'budget_slack': 56,
    'recovery_s': 12,
}
LIMITS = {
    'max_header_bytes': 16384,
    'max_body_bytes': 262144,
    'header_timeout_ms': 3000,
    'idle_timeout_ms': 15000,
}
HEARTBEAT_SECONDS = 1.2
#: The store removes the entry of a searcher that is silent for so long.
SILENCE_SECONDS = 3 * HEARTBEAT_SECONDS
STEP_SECONDS = 0.05
ZONES = {
    'amman-sahab': 'amman',
    'irbid-hassan': 'irbid',
    'aqaba-port': 'aqaba',
}
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
#: SO_LINGER with a time of 0 s: closing the socket sends a reset.
LINGER_RESET = struct.pack('ii', 1, 0)


class Record:
    """What was sent, answered and run, in the file record.txt of a case."""

    def __init__(self, folder):
        self.began_at = time.monotonic()
        self._file = (pathlib.Path(folder) / 'record.txt').open('w')
        self._lock = threading.Lock()

    def add(self, *words):
        """Write a line, with the seconds since the start."""
        seconds = time.monotonic() - self.began_at
        with self._lock:
            print(f'{seconds:8.3f}', *words, file=self._file, flush=True)

    def say(self, *words):
        """Write a line, and print it."""
        self.add(*words)
        print(*words, flush=True)


class Store:
    """The platform's store: range reads and watches of all keys."""

    def __init__(self, address):
        self.address = address
        self.era = 1
        self._changes = []
        self._revision = 400
        self._changed = threading.Condition()
        handler = type('Handler', (_StoreHandler,), {'store': self})
        self._server = _Server(split(address), handler)
        threading.Thread(
            target=self._server.serve_forever, args=(0.05,), daemon=True
        ).start()

    def put(self, key, content):
        """Write a value, None to remove the key; return the revision."""
        with self._changed:
            self._revision += 1
            self._changes.append((key, self._revision, content))
            self._changed.notify_all()
            return self._revision

    def copy(self):
        """Return a copy of the data, to come back from later."""
        with self._changed:
            return list(self._changes), self._revision

    def restore(self, copy):
        """Come back from a copy; what was written after it is lost."""
        with self._changed:
            changes, self._revision = copy
            self._changes = list(changes)
            self.era += 1
            self._changed.notify_all()

    def items(self, prefix, after):
        """Return the body of a range read."""
        with self._changed:
            latest = {
                key: change for change in self._changes for key in change[:1]
            }
            found = [
                _event(latest[key])
                for key in sorted(latest)
                if key.startswith(prefix) and key > after
                if latest[key][2] is not None
            ]
            return {
                'items': found[:50],
                'has_more': len(found) > 50,
                'at': self._revision,
            }

    def watch(self, prefix, after, seconds):
        """Return the body of a watch, None if the revision is unknown."""
        with self._changed:
            era = self.era
            if after > self._revision:
                return None
            self._changed.wait_for(
                lambda: self._revision > after or self.era != era, seconds
            )
            if after > self._revision or self.era != era:
                return None
            events = [
                _event(change)
                for change in self._changes
                if change[1] > after and change[0].startswith(prefix)
            ]
            return {'events': events, 'at': self._revision}

    def close(self):
        """Stop serving."""
        self._server.shutdown()
        self._server.server_close()


def _event(change):
    key, revision, content = change
    if content is None:
        return {'key': key, 'revision': revision, 'removed': True}
    return {
        'key': key,
        'value': base64.b64encode(json.dumps(content).encode()).decode(),
        'revision': revision,
        'created': revision,
        'lease_id': 0,
    }


class _Server(ThreadingHTTPServer):
    daemon_threads = True
    allow_reuse_address = True
    request_queue_size = 256

    def handle_error(self, request, client_address):
        """Ignore errors of connections that the peer closed."""


class _StoreHandler(BaseHTTPRequestHandler):
    protocol_version = 'HTTP/1.1'
    disable_nagle_algorithm = True
    store = None

    def do_GET(self):
        """Answer a call of the store."""
        parts = urlsplit(self.path)
        query = {
            name: found[0]
            for name, found in parse_qs(
                parts.query, keep_blank_values=True
            ).items()
        }
        prefix = query.get('prefix', '')
        if parts.path == '/v1/kv-range':
            self._reply(200, self.store.items(prefix, query.get('after', '')))
        elif parts.path == '/v1/kv-watch':
            seconds = int(query['wait_ms']) / 1000
            body = self.store.watch(prefix, int(query['after']), seconds)
            self._reply(200 if body else 410, body or {'error': 'gone'})
        else:
            self._reply(404, {'error': 'unknown call'})

    def log_message(self, *_):
        """Log nothing."""

    def _reply(self, status, body):
        content = json.dumps(body).encode()
        head = (
            f'HTTP/1.1 {status} .\r\nContent-Type: application/json\r\n'
            f'Content-Length: {len(content)}\r\n'
            f'Store-Era: {self.store.era}\r\n\r\n'
        )
        self.wfile.write(head.encode() + content)


class Request:
    """A request as it arrived at a searcher; `at` in monotonic seconds."""

    def __init__(self, method, target, headers, body, caller):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.caller = caller
        self.at = time.monotonic()
        self.has_run = False

    @property
    def request_id(self):
        """The id that its client gave it."""
        return self.headers.get('request-id', '')


class Reply:
    """What a searcher does with a request.

    `crashes` ends the searcher after `work_seconds`; `is_lost` resets the
    connection instead of an answer; `has_run` is whether the request ran.
    """

    def __init__(
        self,
        status=200,
        body=b'',
        work_seconds=0.004,
        headers=(),
        has_run=True,
        crashes=False,
        is_lost=False,
    ):
        self.status = status
        self.body = body
        self.work_seconds = work_seconds
        self.headers = headers
        self.has_run = has_run
        self.crashes = crashes
        self.is_lost = is_lost


#: The searcher is full.
SHED = Reply(503, headers=('Not-Executed: 1',), has_run=False, work_seconds=0)


class Searcher:
    """One searcher; `decide` tells what it does with each request."""

    def __init__(
        self,
        record,
        store,
        searcher_id,
        service,
        zone,
        address,
        decide: Callable[..., Reply],
    ):
        self.searcher_id = searcher_id
        self.service = service
        self.zone = zone
        self.address = address
        self.state = 'ready'
        self.seen = []
        self.is_up = False
        self.capacity = 4
        self.is_leaving = False
        self.is_unlisted = False
        self.is_dark = False
        self._fillers = []
        self._record = record
        self._store = store
        self._decide = decide
        self._connections = set()
        self._listener = None
        self._born = 0
        self._reports = 0

    def start(self):
        """Listen, and report to the store as a new process."""
        self._born = int(time.time() * 1000)
        self._reports = 0
        self._listener = socket.create_server(split(self.address), backlog=256)
        self.is_up = True
        threading.Thread(
            target=self._accept, args=(self._listener,), daemon=True
        ).start()
        threading.Thread(
            target=self._report_regularly, args=(self._born,), daemon=True
        ).start()

    def end(self):
        """End the process: close the listener and all connections."""
        self.is_up = False
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        for connection in tuple(self._connections):
            with contextlib.suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)

    def go_dark(self):
        """Fall silent: no connection is accepted, nothing is answered.

        The opening packets of new connections are dropped, as the queue of the
        listener is full.
        """
        self._record.add('dark:', self.searcher_id)
        self.is_up = False
        self.is_dark = True
        self._listener.listen(0)
        for _ in range(4):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(split(self.address))
            self._fillers.append(filler)
            time.sleep(0.01)
        threading.Timer(SILENCE_SECONDS, self._remove_entry).start()

    def come_back(self):
        """Start again after `go_dark`, under the same id and address."""
        former = self._listener
        for connection in (*self._connections, *self._fillers):
            with contextlib.suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)
        self._connections.clear()
        self._fillers.clear()
        former.close()
        self.is_dark = False
        self.start()
        self._record.add('back:', self.searcher_id)

    def report(self):
        """Write the entry of this searcher to the store."""
        self._reports += 1
        self._store.put(
            f'servers/{self.searcher_id}',
            {
                'service': self.service,
                'address': self.address,
                'zone': self.zone,
                'version': 'v1',
                'capacity': self.capacity,
                'state': self.state,
                'cold_left_ms': 0,
                'call_seq': self._reports,
                'born': self._born,
            },
        )

    def unlist(self):
        """Have the entry removed, and report no more."""
        self.is_unlisted = True
        self._store.put(f'servers/{self.searcher_id}', None)

    def _remove_entry(self):
        if self.is_dark:
            self._record.add('entry removed:', self.searcher_id)
            self._store.put(f'servers/{self.searcher_id}', None)

    def _report_regularly(self, born):
        while self.is_up and self._born == born and not self.is_unlisted:
            self.report()
            time.sleep(HEARTBEAT_SECONDS)

    def _accept(self, listener):
        with contextlib.suppress(OSError):
            while True:
                connection, _ = listener.accept()
                if self.is_dark:
                    self._fillers.append(connection)
                    return
                connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                self._connections.add(connection)
                threading.Thread(
                    target=self._serve, args=(connection,), daemon=True
                ).start()

    def _serve(self, connection):
        caller = ''
        with contextlib.suppress(OSError, ValueError), connection:
            caller = connection.getpeername()
            stream = connection.makefile('rb')
            while self._serve_one(connection, stream, caller):
                continue
        self._connections.discard(connection)

    def _serve_one(self, connection, stream, caller):
        request = _read_request(stream, caller)
        if request is None:
            return False
        while self.is_dark:
            time.sleep(STEP_SECONDS)
        expected = request.headers.get('expect-instance')
        if expected not in {None, self.searcher_id}:
            self._send(connection, request, Reply(421, has_run=False))
            return True
        if request.target == '/health':
            self._send(connection, request, Reply(200, has_run=False))
            return True
        reply = self._decide(self, request)
        request.has_run = reply.has_run
        self.seen.append(request)
        self._record.add(
            'arrives',
            request.request_id,
            'at',
            self.searcher_id,
            'runs' if reply.has_run else 'does not run',
        )
        time.sleep(reply.work_seconds)
        if reply.crashes:
            if self.is_up:
                self._record.add('crash of', self.searcher_id)
                self.end()
            return False
        if reply.is_lost:
            connection.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET
            )
            return False
        self._send(connection, request, reply)
        return True

    def _send(self, connection, request, reply):
        lines = [
            f'HTTP/1.1 {reply.status} .',
            f'Content-Length: {len(reply.body)}',
            f'Instance-Id: {self.searcher_id}',
            'Keep-Alive: timeout=20',
            *reply.headers,
        ]
        if self.is_leaving:
            lines.append('Server-Leaving: 1')
        if request.request_id:
            lines.append(f'Request-Id: {request.request_id}')
        if reply.has_run:
            stamp = f'{self.searcher_id}.{request.request_id}'
            lines.append(f'Server-Stamp: {stamp}')
        head = '\r\n'.join([*lines, '', '']).encode()
        connection.sendall(head + reply.body)


def _read_request(stream, caller):
    line = stream.readline().decode('latin-1').split()
    if len(line) != 3:
        return None
    headers = {}
    while (text := stream.readline().decode('latin-1').strip()) != '':
        name, _, content = text.partition(':')
        headers[name.lower()] = content.strip()
    body = stream.read(int(headers.get('content-length', 0)))
    return Request(line[0], line[1], headers, body, caller)


class Vm:
    """One VM: a process of the project's program on a loopback address."""

    def __init__(self, record, folder, number, ips, store_address, zone):
        self.number = number
        self.ip = ips[number]
        self.address = f'{self.ip}:8226'
        self.process = None
        self.started_at = 0.0
        self._record = record
        self._log_path = folder / f'vm-{number}.log'
        self._settings_path = folder / f'vm-{number}.json'
        self._settings_path.write_text(
            json.dumps(_settings(number, ips, store_address, zone))
        )

    def start(self):
        """Start the process as the deploy file does."""
        self._record.add('start of vm', self.number)
        self.started_at = time.monotonic()
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['BASILWALL_NODE_FILE'] = str(self._settings_path)
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        environment['PYTHONDONTWRITEBYTECODE'] = '1'
        with self._log_path.open('ab') as log:
            self.process = subprocess.Popen(
                ['python3', '-m', 'basilwall.entry'],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def kill(self):
        """End the process with SIGKILL."""
        self._record.add('SIGKILL of vm', self.number)
        self.process.kill()
        self.process.wait(10)

    def stop(self, seconds):
        """Stop the process by plan: SIGTERM, and SIGKILL after some time."""
        self.signal(signal.SIGTERM)
        try:
            self.process.wait(seconds)
        except subprocess.TimeoutExpired:
            self.kill()

    def signal(self, number):
        """Send the process a signal."""
        self._record.add(signal.Signals(number).name, 'to vm', self.number)
        self.process.send_signal(number)

    def is_ready(self):
        """Return whether it answers the balancer with 200."""
        return ask(f'{self.ip}:8227', path='/v1/readiness', timeout=1)[0] == 200

    def close(self):
        """End the process if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait(10)

    def log(self):
        """Return what the process wrote."""
        return self._log_path.read_text(errors='replace')


def _settings(number, ips, store_address, zone):
    ip = ips[number]
    return {
        'node': f'frontend-{zone}-{number + 1}',
        'role': 'entry',
        'machine_class': 'frontend',
        'serves': ['frontend', 'control_plane'],
        'ip': ip,
        'zone': zone,
        'region': ZONES[zone],
        'zones': ZONES,
        'listen': {
            'front': f'{ip}:8226',
            'ready': f'{ip}:8227',
            'control': f'{ip}:8224',
        },
        'internal_ports': [7740, 7755],
        'seed_nodes': [f'{one}:8224' for one in ips[:3]],
        'bootstrap': True,
        'loss_counted': False,
        'limits': {
            'cpu_share': 0.537,
            'cpu_cores': 2,
            'memory_mb': 300,
            'max_fds': 4100,
            'link_mbps': 1000.0,
            'disk_mb': 0,
        },
        'data_dir': None,
        'discovery': 'platform',
        'entry': 'virtual_ip',
        'heartbeat_ms': int(HEARTBEAT_SECONDS * 1000),
        'tolerate': {'machines': 1, 'zones': 0, 'regions': 0},
        'bounds': BOUNDS,
        'platform': {
            'address': store_address,
            'form': 'read',
            'reads_per_s': 2000,
            'history_s': 20,
            'value_bytes': 1048576,
        },
    }


def ask(address, method='GET', path='/', headers=None, body=None, timeout=10):
    """Send one request on a new connection.

    Returns:
        The status, the headers by name in small letters, and the body; status
        0 and the error if there is no complete answer.
    """
    host, port = split(address)
    connection = http.client.HTTPConnection(host, port, timeout=timeout)
    try:
        connection.request(
            method, path, body, {'Connection': 'close', **(headers or {})}
        )
        answer = connection.getresponse()
        content = answer.read()
    except (OSError, http.client.HTTPException) as error:
        return 0, {'error': repr(error)}, b''
    finally:
        connection.close()
    by_name = {name.lower(): text for name, text in answer.getheaders()}
    return answer.status, by_name, content


def route(name, prefix, **fields):
    """Return a route of the manifest, idempotent unless said."""
    return {
        'name': name,
        'host': 'leno12.example',
        'prefix': prefix,
        'type': 'idempotent',
        'timeout_ms': 2500,
        'target_latency_ms': 300,
        'priority': 1,
        'max_attempts': 2,
        **fields,
    }


def manifest(version, routes, services, max_conns=110):
    """Return a manifest."""
    return {
        'version': version,
        'routes': routes,
        'services': [
            {
                'name': service,
                'health_path': '/health',
                'max_conns': max_conns,
                'protocol': 'h1',
                'tls': False,
            }
            for service in services
        ],
        'limits': LIMITS,
    }


def split(address):
    """Return host and port of `host:port`."""
    host, _, port = address.rpartition(':')
    return host, int(port)


def free_network():
    """Return the first bytes of a loopback network that nobody uses."""
    for _ in range(200):
        network = f'127.{random.randrange(64, 250)}.{random.randrange(1, 250)}'
        with contextlib.suppress(OSError):
            for port in (8224, 8226, 8227, 9464):
                socket.create_server((f'{network}.1', port)).close()
            return network
    raise OSError('no free loopback network')


def wait_until(condition, seconds):
    """Wait until a condition holds; return whether it does."""
    ends_at = time.monotonic() + seconds
    while time.monotonic() < ends_at:
        if condition():
            return True
        time.sleep(0.05)
    return False


class Stage:
    """The store, the searchers and the VMs of a case."""

    def __init__(self, folder):
        self.record = Record(folder)
        self.network = free_network()
        self.searchers = []
        self.vms = []
        self._folder = pathlib.Path(tempfile.mkdtemp(prefix='case-'))
        self.store = Store(f'{self.network}.200:8229')

    def add_searcher(self, service, zone, decide):
        """Start a searcher."""
        number = len(self.searchers)
        searcher = Searcher(
            self.record,
            self.store,
            f'i-{service}-{number}',
            service,
            zone,
            f'{self.network}.{100 + number}:8080',
            decide,
        )
        searcher.start()
        self.searchers.append(searcher)
        return searcher

    def start_vms(self, count):
        """Start VMs and wait until all are ready.

        Raises:
            TimeoutError: If one is not ready within 20 s.
        """
        ips = [f'{self.network}.{number + 1}' for number in range(count)]
        zones = list(ZONES)
        self.vms = [
            Vm(
                self.record,
                self._folder,
                number,
                ips,
                self.store.address,
                zones[number % len(zones)],
            )
            for number in range(count)
        ]
        for vm in self.vms:
            vm.start()
        self.wait_ready()

    def wait_ready(self, seconds=20):
        """Wait until all VMs are ready."""
        for vm in self.vms:
            if not wait_until(vm.is_ready, seconds):
                raise TimeoutError(f'vm {vm.number} is not ready')

    def close(self):
        """End all processes that were started, and remove their files."""
        for vm in self.vms:
            vm.close()
        for searcher in self.searchers:
            if searcher.is_up:
                searcher.end()
        self.store.close()
        if os.environ.get('KEEP'):
            print('logs:', self._folder)
        else:
            shutil.rmtree(self._folder, ignore_errors=True)


def main(file, play):
    """Run a case: `play(stage)` returns HELD or BROKEN."""
    stage = None
    try:
        stage = Stage(pathlib.Path(file).resolve().parent)
        outcome = play(stage)
    except (OSError, TimeoutError, RuntimeError) as error:
        print('could not run:', repr(error))
        outcome = COULD_NOT_RUN
    finally:
        if stage is not None:
            stage.close()
    sys.exit(outcome)
