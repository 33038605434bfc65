"""Stand-ins and helpers of the third review's scripts; standard library only.

A case starts entry VMs as processes, with the command of the deploy file, on
loopback addresses of its own. The store and the searchers are threads of the
script.
"""

import base64
import contextlib
import json
import os
import random
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent
FRONT_PORT, READY_PORT, CONTROL_PORT, RELAY_PORT = 8226, 8227, 8224, 7740
METRICS_PORT = 9464
#: Fixed ports of a VM, which must be free at its address.
VM_PORTS = (FRONT_PORT, READY_PORT, CONTROL_PORT, RELAY_PORT, METRICS_PORT)
START_SECONDS = 30
HELD, BROKEN, NOT_RUN = 0, 1, 2
#: As the users' sites have them.
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
ZONES = {'amman-sahab': 'amman', 'irbid-hassan': 'irbid'}
#: SO_LINGER with a time of 0 s: closing the socket sends a reset.
_LINGER_RESET = struct.pack('ii', 1, 0)


class CannotRunError(Exception):
    """The case can't run here."""


class Record:
    """Writes what was sent, answered and run, with the time since the start."""

    def __init__(self, folder):
        self._file = (Path(folder) / 'record.txt').open('w', encoding='utf-8')
        self._began_at = time.monotonic()
        self._lock = threading.Lock()

    def write(self, text):
        """Write one line, to the file and to standard output."""
        elapsed = time.monotonic() - self._began_at
        line = f'{elapsed:8.3f} {text}'
        with self._lock:
            self._file.write(f'{line}\n')
            self._file.flush()
            print(line, flush=True)


def has_trouble():
    """Return whether the disruption is to be played."""
    return os.environ.get('TROUBLE', '1') != '0'


class Store:
    """The platform's store: keys with revisions, listings and watches."""

    def __init__(self, first_revision=100):
        self._revision = first_revision
        self._events = []
        self._items = {}
        self._changed = threading.Condition()
        handler = type('Handler', (_StoreHandler,), {'store': self})
        self._server = ThreadingHTTPServer(('127.0.0.1', 0), handler)
        self._server.daemon_threads = True
        # A VM may close a connection while its watch waits.
        self._server.handle_error = _ignore_error
        self.address = f'127.0.0.1:{self._server.server_address[1]}'
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    @property
    def revision(self):
        """The revision of the last change."""
        return self._revision

    def put(self, key, value):
        """Write a value; returning is the ack."""
        with self._changed:
            self._revision += 1
            former = self._items.get(key)
            item = {
                'key': key,
                'value': base64.b64encode(value).decode(),
                'revision': self._revision,
                'created': former['created'] if former else self._revision,
                'lease_id': 0,
            }
            self._items[key] = item
            self._events.append(item)
            self._changed.notify_all()

    def remove(self, key):
        """Remove a key; returning is the ack."""
        with self._changed:
            self._revision += 1
            self._items.pop(key)
            removed = {'key': key, 'revision': self._revision, 'removed': True}
            self._events.append(removed)
            self._changed.notify_all()

    def read_range(self, prefix, after):
        """Return a page of up to 500 items."""
        with self._changed:
            found = [
                self._items[key]
                for key in sorted(self._items)
                if key.startswith(prefix) and key > after
            ]
            return {
                'items': found[:500],
                'has_more': len(found) > 500,
                'at': self._revision,
            }

    def watch(self, prefix, after, seconds):
        """Wait for changes after a revision."""
        with self._changed:
            self._changed.wait_for(
                lambda: self._after(prefix, after), max(seconds, 0)
            )
            return {'events': self._after(prefix, after), 'at': self._revision}

    def _after(self, prefix, after):
        return [
            event
            for event in self._events
            if event['revision'] > after and event['key'].startswith(prefix)
        ]


def _ignore_error(*_):
    """Ignore that a connection ended."""


class _StoreHandler(BaseHTTPRequestHandler):
    protocol_version = 'HTTP/1.1'
    store = None

    def do_GET(self):
        """Answer a read."""
        parts = urlsplit(self.path)
        query = {
            name: texts[0] for name, texts in parse_qs(parts.query).items()
        }
        prefix, after = query.get('prefix', ''), query.get('after', '')
        if parts.path == '/v1/kv-range':
            self._reply(200, self.store.read_range(prefix, after))
        elif parts.path == '/v1/kv-watch':
            seconds = int(query['wait_ms']) / 1000
            self._reply(200, self.store.watch(prefix, int(after), seconds))
        else:
            self._reply(404, {})

    def log_message(self, *_):
        """Log nothing."""

    def _reply(self, status, content):
        body = json.dumps(content).encode()
        self.send_response(status)
        self.send_header('Content-Type', 'application/json')
        self.send_header('Content-Length', str(len(body)))
        self.end_headers()
        self.wfile.write(body)


def manifest(version, routes, services, limits=None):
    """Return the document of routes, services and limits."""
    return json.dumps(
        {
            'version': version,
            'routes': routes,
            'services': [
                {
                    'name': name,
                    'health_path': '/health',
                    'max_conns': 110,
                    'protocol': 'h1',
                    'tls': False,
                }
                for name in services
            ],
            'limits': limits or LIMITS,
        }
    ).encode()


def route(prefix, kind='idempotent', **fields):
    """Return one route."""
    return {
        'name': 'r' + prefix.replace('/', '-'),
        'host': 'h.example',
        'prefix': prefix,
        'type': kind,
        'timeout_ms': 5000,
        'target_latency_ms': 327,
        'priority': 2,
        'max_attempts': 2,
        **fields,
    }


def entry_of(
    service,
    address,
    state='ready',
    born=1,
    zone='amman-sahab',
    cold_left_ms=0,
):
    """Return what a searcher writes to the store."""
    return json.dumps(
        {
            'service': service,
            'address': address,
            'zone': zone,
            'version': 'v1',
            'capacity': 3,
            'state': state,
            'cold_left_ms': cold_left_ms,
            'call_seq': 1,
            'born': born,
        }
    ).encode()


class Request:
    """What a searcher read of one request."""

    def __init__(self, head):
        lines = head.decode('latin-1').split('\r\n')
        self.method, self.target, _ = lines[0].split(' ', 2)
        self.headers = {}
        for line in lines[1:]:
            if line:
                name, _, text = line.partition(':')
                self.headers[name.strip().lower()] = text.strip()
        self.length = int(self.headers.get('content-length', 0))

    @property
    def request_id(self):
        """The id that the client gave to its attempt."""
        return self.headers.get('request-id', '')


class Searcher:
    """A searcher that serves each connection on a thread.

    `serve(connection, request, body_start)` answers one request and returns
    whether the connection stays open. `body_start` is what came of the body.
    """

    def __init__(self, searcher_id, serve, mss=None, receive_buffer=None):
        self.searcher_id = searcher_id
        self.serve = serve
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        # What one machine's Ethernet would announce, and a small window.
        if receive_buffer:
            listener.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer
            )
        if mss:
            listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, mss)
        listener.bind(('127.0.0.1', 0))
        listener.listen(64)
        self._listener = listener
        self.address = f'127.0.0.1:{listener.getsockname()[1]}'
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self):
        """Refuse new connections."""
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()

    def _accept(self):
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(
                target=self._serve, args=(connection,), daemon=True
            ).start()

    def _serve(self, connection):
        serve_connection(connection, self.searcher_id, self.serve)


def serve_connection(connection, searcher_id, serve):
    """Serve the requests of one connection of a searcher until it ends."""
    received = b''
    try:
        while True:
            while b'\r\n\r\n' not in received:
                piece = connection.recv(4096)
                if not piece:
                    return
                received += piece
            head, _, rest = received.partition(b'\r\n\r\n')
            request = Request(head)
            expected = request.headers.get('expect-instance')
            if expected not in {None, searcher_id}:
                id_line = f'Request-Id: {request.request_id}\r\n'
                connection.sendall(
                    b'HTTP/1.1 421 Misdirected Request\r\n'
                    b'%bContent-Length: 0\r\nConnection: close\r\n\r\n'
                    % id_line.encode()
                )
                return
            if not serve(connection, request, rest):
                return
            received = b''
    except OSError:
        return
    finally:
        with contextlib.suppress(OSError):
            connection.close()


def read_body(connection, request, start):
    """Read the rest of a request's body and return all of it."""
    body = start
    while len(body) < request.length:
        piece = connection.recv(min(65536, request.length - len(body)))
        if not piece:
            raise OSError('the request was cut')
        body += piece
    return body


def reset(connection):
    """Close a connection by a reset."""
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET)
    connection.close()


class Vm:
    """One entry VM, a process of the deploy file."""

    def __init__(self, number, ip, seeds, store, folder, zone='amman-sahab'):
        self.ip = ip
        self.front = (ip, FRONT_PORT)
        self._folder = folder
        self._node_file = folder / f'vm-{number}.json'
        self._log = folder / f'vm-{number}.log'
        self.process = None
        self._node_file.write_text(
            json.dumps(
                {
                    'node': f'frontend-{zone}-{number}',
                    'role': 'entry',
                    'machine_class': 'frontend',
                    'serves': ['frontend', 'control_plane'],
                    'ip': ip,
                    'zone': zone,
                    'region': ZONES[zone],
                    'zones': ZONES,
                    'listen': {
                        'front': f'{ip}:{FRONT_PORT}',
                        'ready': f'{ip}:{READY_PORT}',
                        'control': f'{ip}:{CONTROL_PORT}',
                    },
                    'internal_ports': [RELAY_PORT, RELAY_PORT + 15],
                    'seed_nodes': seeds,
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
                    'heartbeat_ms': 1200,
                    'contracts': ['base', 'drain', 'config', 'retry'],
                    'tolerate': {'machines': 1, 'zones': 0, 'regions': 0},
                    'bounds': BOUNDS,
                    'platform': {
                        'address': store.address,
                        'form': 'read',
                        'writes_per_s': 400,
                        'reads_per_s': 2000,
                        'history_s': 20,
                        'value_bytes': 1048576,
                        'min_ttl_ms': 1000,
                    },
                }
            )
        )

    def start(self):
        """Start the process."""
        with self._log.open('ab') as log:
            self.process = subprocess.Popen(
                [_python(), '-m', 'basilwall.entry'],
                cwd=ROOT,
                env={
                    'PATH': os.environ.get('PATH', ''),
                    'HOME': os.environ.get('HOME', ''),
                    'PYTHONPATH': str(ROOT / 'target' / 'deps'),
                    'PYTHONDONTWRITEBYTECODE': '1',
                    'BASILWALL_NODE_FILE': str(self._node_file),
                },
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def wait_ready(self):
        """Wait until the VM says that it is ready."""
        ends_at = time.monotonic() + START_SECONDS
        while time.monotonic() < ends_at:
            if self.process.poll() is not None:
                raise CannotRunError(f'VM ended: {self.log_tail()}')
            if self.is_ready():
                return
            time.sleep(0.05)
        raise CannotRunError(f'VM not ready: {self.log_tail()}')

    def is_ready(self):
        """Ask as the platform does."""
        try:
            with socket.create_connection((self.ip, READY_PORT), 1) as asking:
                asking.settimeout(1)
                asking.sendall(b'GET /v1/readiness HTTP/1.1\r\nHost: r\r\n\r\n')
                return asking.recv(100).startswith(b'HTTP/1.1 200')
        except OSError:
            return False

    def log_tail(self):
        """Return the end of what the process wrote."""
        return self._log.read_text()[-2000:]

    def log_lines(self, word):
        """Return the lines of the log that hold a word."""
        lines = self._log.read_text().splitlines()
        return [line for line in lines if word in line]

    def end(self):
        """End the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait(10)


def _python():
    return os.environ.get('REVIEW_PYTHON') or sys.executable


def free_ips(count):
    """Return loopback addresses whose VM ports are free."""
    found = []
    for _ in range(200):
        ip = '127.{}.{}.{}'.format(*(random.randint(2, 250) for _ in range(3)))
        if ip not in found and all(_is_free(ip, port) for port in VM_PORTS):
            found.append(ip)
        if len(found) == count:
            return found
    raise CannotRunError('no free addresses')


def _is_free(ip, port):
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((ip, port))
        except OSError:
            return False
    return True


@contextlib.contextmanager
def running_vms(store, count=1):
    """Run entry VMs while a `with` block runs."""
    with tempfile.TemporaryDirectory() as name:
        ips = free_ips(count)
        seeds = [f'{ip}:{CONTROL_PORT}' for ip in ips[:3]]
        vms = [
            Vm(number, ip, seeds, store, Path(name))
            for number, ip in enumerate(ips)
        ]
        try:
            for vm in vms:
                vm.start()
            for vm in vms:
                vm.wait_ready()
            yield vms
        finally:
            for vm in vms:
                vm.end()


class Answer:
    """What a client got: `status` is 0 if no head came.

    `is_complete` says whether the body had its full length.
    """

    def __init__(self, status=0, headers=None, body=b'', is_complete=False):
        self.status = status
        self.headers = headers or {}
        self.body = body
        self.is_complete = is_complete

    def __str__(self):
        """Return a short form for the record."""
        stamp = self.headers.get('server-stamp', '-')
        return (
            f'{self.status or "no answer"}, stamp {stamp}, '
            f'{len(self.body)} bytes, complete: {self.is_complete}'
        )


class AnswerReader:
    """Reads the answers on a client's connection, one after the other."""

    def __init__(self, client):
        self._client = client
        self._received = b''

    def next_answer(self):
        """Read one answer; one without a status if the connection ends."""
        try:
            while b'\r\n\r\n' not in self._received:
                if not self._receive():
                    return Answer()
            head, _, self._received = self._received.partition(b'\r\n\r\n')
            lines = head.decode('latin-1').split('\r\n')
            headers = {}
            for line in lines[1:]:
                name, _, text = line.partition(':')
                headers[name.strip().lower()] = text.strip()
            status = int(lines[0].split(' ')[1])
            length = int(headers.get('content-length', 0))
            while len(self._received) < length:
                if not self._receive():
                    return Answer(status, headers, self._received)
        except OSError:
            return Answer()
        body = self._received[:length]
        self._received = self._received[length:]
        return Answer(status, headers, body, is_complete=True)

    def _receive(self):
        piece = self._client.recv(65536)
        self._received += piece
        return piece


def read_answer(client):
    """Read the only answer on a client's connection."""
    return AnswerReader(client).next_answer()


def request_bytes(method, path, request_id, deadline_ms, body=b'', headers=''):
    """Return the bytes of a client's request."""
    length = f'Content-Length: {len(body)}\r\n' if body else ''
    head = (
        f'{method} {path} HTTP/1.1\r\n'
        'Host: h.example\r\n'
        f'Request-Id: {request_id}\r\n'
        f'Request-Deadline-Ms: {deadline_ms}\r\n'
        f'{headers}{length}\r\n'
    )
    return head.encode() + body


def ask(vm, method, path, request_id, deadline_ms=5000, body=b'', headers=''):
    """Send a request on a new connection and return its answer."""
    try:
        with socket.create_connection(vm.front, 1) as client:
            client.settimeout(deadline_ms / 1000 + 2)
            client.sendall(
                request_bytes(
                    method, path, request_id, deadline_ms, body, headers
                )
            )
            return read_answer(client)
    except OSError:
        return Answer()


def run_case(folder, play):
    """Run `play(record)`, which returns whether the rule held."""
    record = Record(folder)
    try:
        has_held = play(record)
    except Exception as error:
        record.write(f'could not run: {error!r}')
        return NOT_RUN
    record.write('the rule held' if has_held else 'THE RULE WAS BROKEN')
    return HELD if has_held else BROKEN
