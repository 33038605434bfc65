"""Stand-ins and processes that the scripts of this review share.

The VMs are started as the deploy file says. The metadata store is the
project's own stand-in; searchers, links and callers are the small ones below.
All addresses are on loopback.
"""

import contextlib
import json
import os
import random
import select
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
from dataclasses import dataclass, field
from pathlib import Path

from basilwall.standin.metadata_store import MetadataStore

ROOT = Path(__file__).resolve().parent.parent
HOST = 'h.example'
METRICS_PORT = 9464
CALLER_PORT, READY_PORT, CONTROL_PORT, RELAY_PORT = 8226, 8227, 8224, 7740
READY_SECONDS = 30.0
#: How soon a connection is reset once it is cut.
PUMP_SECONDS = 0.05
RESET = struct.pack('ii', 1, 0)
#: Those of the site tgl-fletes.
BOUNDS = {
    'seed_lag_s': 3,
    'addr_reuse_s': 2,
    'stable_ms': 5000,
    'ack_timeout_ms': 6000,
    'catch_up_s': 4,
    'drain_ms': 3000,
    'grace_s': 6,
    'loss_slack_ms': 200,
    'config_apply_ms': 3000,
    'downgrade_ms': 250,
    'max_stretch_ms': 15000,
    'retry_budget_ratio': 0.2,
    'budget_window_s': 10,
    'budget_slack': 58,
    'recovery_s': 12,
}
LIMITS = {
    'max_header_bytes': 16384,
    'max_body_bytes': 262144,
    'header_timeout_ms': 5000,
    'idle_timeout_ms': 15000,
}


class CannotRunError(Exception):
    """The case could not be played."""


class Record:
    """Writes what happened to a file, with seconds since the start."""

    def __init__(self, path):
        self._path = Path(path)
        self._path.write_text('')
        self._began_at = time.monotonic()
        self._lock = threading.Lock()

    def add(self, text):
        """Write one line."""
        elapsed = time.monotonic() - self._began_at
        with self._lock, self._path.open('a', encoding='utf-8') as lines:
            lines.write(f'{elapsed:8.3f} {text}\n')


@dataclass(frozen=True)
class Request:
    """A request as a searcher read it; `at` is in monotonic seconds."""

    method: str
    target: str
    headers: dict
    body: bytes
    at: float


@dataclass
class Reply:
    """A searcher's reply; `has_run` False adds `Not-Executed`."""

    status: int = 200
    body: bytes = b'answer'
    headers: tuple = ()
    has_run: bool = True
    work_seconds: float = 0.005
    reason: str = 'X'


def read_message(stream):
    """Read one HTTP message with a length; None at the end of stream."""
    first = stream.readline()
    if not first:
        return None
    headers = {}
    while (line := stream.readline()) not in {b'\r\n', b''}:
        name, _, text = line.decode('latin-1').partition(':')
        headers[name.strip().lower()] = text.strip()
    size = int(headers.get('content-length', 0))
    return first.decode('latin-1').split(' ', 2), headers, stream.read(size)


class Searcher:
    """One searcher process: answers each request by `respond`."""

    def __init__(self, record, searcher_id, respond, ip='127.0.0.1'):
        self.searcher_id = searcher_id
        self.requests = []
        self.respond = respond
        self._record = record
        self.listener = socket.create_server((ip, 0), backlog=256)
        host, port = self.listener.getsockname()
        self.address = f'{host}:{port}'
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        with contextlib.suppress(OSError):
            while True:
                connection, _ = self.listener.accept()
                threading.Thread(
                    target=self._serve, args=(connection,), daemon=True
                ).start()

    def _serve(self, connection):
        with contextlib.suppress(OSError), connection:
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            stream = connection.makefile('rb')
            while (message := read_message(stream)) is not None:
                self._answer(connection, *message)

    def _answer(self, connection, first, headers, body):
        request = Request(first[0], first[1], headers, body, time.monotonic())
        request_id = headers.get('request-id', '')
        if headers.get('expect-instance') != self.searcher_id:
            reply = Reply(421, b'', has_run=False)
        else:
            self.requests.append(request)
            reply = self.respond(self, request)
        if reply.has_run:
            time.sleep(reply.work_seconds)
        did = 'ran' if reply.has_run else 'did not run'
        self._record.add(
            f'searcher {self.searcher_id} {did} {request.method} '
            f'{request.target} id={request_id} -> {reply.status} '
            f'{dict(reply.headers)}'
        )
        lines = [
            f'HTTP/1.1 {reply.status} {reply.reason}',
            f'Request-Id: {request_id}',
            f'Server-Stamp: {self.searcher_id}.{request_id}',
            f'Content-Length: {len(reply.body)}',
            *([] if reply.has_run else ['Not-Executed: 1']),
            *(f'{name}: {text}' for name, text in reply.headers),
        ]
        head = '\r\n'.join([*lines, '', '']).encode()
        connection.sendall(head + reply.body)


class Pair:
    """The two connections of a proxied one; `is_reset` ends both."""

    def __init__(self, owner, client, upstream):
        self.owner = owner
        self.is_reset = False
        self.client = client
        self.upstream = upstream


class Link:
    """A TCP proxy that can be cut for some of the VMs."""

    def __init__(self, target):
        host, _, port = target.rpartition(':')
        self._target = (host, int(port))
        self._listener = socket.create_server(('127.0.0.1', 0), backlog=256)
        self._pairs = set()
        self._cut_pids = set()
        host, port = self._listener.getsockname()
        self.address = f'{host}:{port}'
        threading.Thread(target=self._accept, daemon=True).start()

    def cut(self, pid):
        """Reset the connections of a process, open and new ones."""
        self._cut_pids.add(pid)
        for pair in tuple(self._pairs):
            if pair.owner == pid:
                pair.is_reset = True

    def heal(self):
        """Let all connections pass again."""
        self._cut_pids.clear()

    def _accept(self):
        while True:
            client, peer = self._listener.accept()
            threading.Thread(
                target=self._connect, args=(client, peer[1]), daemon=True
            ).start()

    def _connect(self, client, port):
        owner = owner_of(port, VMS_BY_PID)
        if owner in self._cut_pids:
            reset(client)
            return
        try:
            upstream = socket.create_connection(self._target)
        except OSError:
            reset(client)
            return
        for connection in (client, upstream):
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        pair = Pair(owner, client, upstream)
        self._pairs.add(pair)
        for source, sink in ((client, upstream), (upstream, client)):
            threading.Thread(
                target=self._pump, args=(pair, source, sink), daemon=True
            ).start()

    def _pump(self, pair, source, sink):
        try:
            while not pair.is_reset:
                # A socket that another thread waits for is not closed at once.
                if not select.select([source], [], [], PUMP_SECONDS)[0]:
                    continue
                chunk = source.recv(65536)
                if not chunk:
                    sink.shutdown(socket.SHUT_WR)
                    return
                sink.sendall(chunk)
        except (OSError, ValueError):
            pair.is_reset = True
        self._pairs.discard(pair)
        reset(pair.client)
        reset(pair.upstream)


def reset(connection):
    """Close a connection with a TCP reset."""
    with contextlib.suppress(OSError):
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        connection.close()


#: The VM processes of this script by their ids.
VMS_BY_PID = {}


def owner_of(port, pids):
    """Return which process has the local port of a loopback connection."""
    inode = ''
    for line in Path('/proc/net/tcp').read_text().splitlines()[1:]:
        columns = line.split()
        if int(columns[1].partition(':')[2], 16) == port:
            inode = columns[9]
            if inode != '0':
                break
    for pid in tuple(pids):
        with contextlib.suppress(OSError):
            for entry in os.scandir(f'/proc/{pid}/fd'):
                with contextlib.suppress(OSError):
                    if os.readlink(entry.path) == f'socket:[{inode}]':
                        return pid
    return None


@dataclass
class Vm:
    """One VM: its address on loopback, its settings and its process."""

    name: str
    ip: str
    settings: dict
    folder: Path
    process: subprocess.Popen = None
    starts: int = 0

    @property
    def pid(self):
        """The id of its process."""
        return self.process.pid

    def start(self):
        """Start the process of the deploy file."""
        path = self.folder / f'{self.name}.json'
        path.write_text(json.dumps(self.settings))
        log = (self.folder / f'{self.name}.log').open('ab')
        deps = ROOT / 'target' / 'deps'
        self.starts += 1
        self.process = subprocess.Popen(
            [sys.executable, '-m', 'basilwall.entry'],
            cwd=ROOT,
            env={
                **os.environ,
                'PYTHONPATH': str(deps),
                'BASILWALL_NODE_FILE': str(path),
            },
            stdout=log,
            stderr=subprocess.STDOUT,
        )
        VMS_BY_PID[self.process.pid] = self

    def is_ready(self):
        """Return whether the readiness address answers 200."""
        try:
            return ask(self.ip, READY_PORT, 'GET', '/v1/readiness')[0] == 200
        except OSError:
            return False

    def log(self):
        """Return what the process wrote."""
        return (self.folder / f'{self.name}.log').read_text()

    def end(self):
        """Kill the process if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


def ask(ip, port, method, target, headers=(), body=b'', timeout=10.0):
    """Send one request on a new connection; return status, headers, body."""
    with socket.create_connection((ip, port), timeout) as connection:
        send(connection, method, target, headers, body)
        return receive(connection.makefile('rb'))


def send(connection, method, target, headers=(), body=b''):
    """Write one request to a connection."""
    lines = [
        f'{method} {target} HTTP/1.1',
        f'Host: {HOST}',
        *(f'{name}: {text}' for name, text in headers),
    ]
    if body or method == 'POST':
        lines.append(f'Content-Length: {len(body)}')
    connection.sendall('\r\n'.join([*lines, '', '']).encode() + body)


def receive(stream):
    """Read one answer from a connection."""
    message = read_message(stream)
    if message is None:
        raise ConnectionError('closed without an answer')
    first, headers, body = message
    return int(first[1]), headers, body


def route(prefix, **fields):
    """Return one route of the manifest."""
    return {
        'name': f'r{prefix}',
        'host': HOST,
        'prefix': prefix,
        'type': 'idempotent',
        'timeout_ms': 5000,
        'target_latency_ms': 300,
        'max_attempts': 2,
        'priority': 1,
        **fields,
    }


@dataclass
class Stage:
    """The store, the VMs and the searchers of one script."""

    record: Record
    folder: Path
    store: MetadataStore
    vms: list = field(default_factory=list)
    version: int = 0

    def publish(self, routes, services, limits=LIMITS):
        """Write the next version of the manifest; return it."""
        self.version += 1
        manifest = {
            'version': self.version,
            'routes': list(routes),
            'services': [
                {'name': one, 'health_path': '/health', 'max_conns': 100}
                for one in services
            ],
            'limits': limits,
        }
        self.record.add(f'operator writes manifest {self.version}')
        self.store.put('op/config', json.dumps(manifest).encode())
        return self.version

    def list_searcher(self, searcher, service, zone, state='ready', **fields):
        """Write the entry of a searcher."""
        entry = {
            'service': service,
            'address': searcher.address,
            'zone': zone,
            'version': 'v1',
            'capacity': 4,
            'state': state,
            'cold_left_ms': 0,
            'call_seq': 1,
            'born': 1,
            **fields,
        }
        self.record.add(f'searcher {searcher.searcher_id} reports {state}')
        key = f'servers/{searcher.searcher_id}'
        self.store.put(key, json.dumps(entry).encode())

    def add_vms(self, zones, store_addresses=None, **fields):
        """Make one VM for each zone named; they are not started yet."""
        ips = free_ips(len(zones))
        for number, (zone, ip) in enumerate(zip(zones, ips, strict=True)):
            address = (store_addresses or {}).get(number, self.store.address)
            settings = {
                'node': f'vm-{number}',
                'role': 'entry',
                'machine_class': 'frontend',
                'serves': ['frontend', 'control_plane'],
                'ip': ip,
                'zone': zone,
                'region': zone,
                'zones': {one: one for one in zones},
                'listen': {
                    'front': f'{ip}:{CALLER_PORT}',
                    'ready': f'{ip}:{READY_PORT}',
                    'control': f'{ip}:{CONTROL_PORT}',
                },
                'internal_ports': [RELAY_PORT, RELAY_PORT + 15],
                'seed_nodes': [f'{one}:{CONTROL_PORT}' for one in ips[:3]],
                'bootstrap': True,
                'limits': {
                    'memory_mb': 300,
                    'max_fds': 4100,
                    'link_mbps': 1000.0,
                },
                'bounds': BOUNDS,
                'platform': {
                    'address': address,
                    'form': 'read',
                    'reads_per_s': 2000,
                    'history_s': 20,
                    'value_bytes': 1048576,
                },
                **fields,
            }
            self.vms.append(Vm(f'vm-{number}', ip, settings, self.folder))

    def start_vms(self):
        """Start all VMs and wait until they are ready."""
        for vm in self.vms:
            vm.start()
        wait_until(lambda: all(vm.is_ready() for vm in self.vms), 'VMs ready')
        self.record.add('all VMs are ready')


def wait_until(condition, what, seconds=READY_SECONDS):
    """Wait until a condition holds."""
    ends_at = time.monotonic() + seconds
    while not condition():
        if time.monotonic() > ends_at:
            raise CannotRunError(f'not seen in {seconds} s: {what}')
        time.sleep(0.05)


def free_ips(count):
    """Return loopback addresses of a network whose ports are free."""
    for _ in range(50):
        network = f'127.{random.randint(20, 250)}.{random.randint(1, 250)}'
        ips = [f'{network}.{1 + number}' for number in range(count)]
        ports = (
            METRICS_PORT,
            CALLER_PORT,
            READY_PORT,
            CONTROL_PORT,
            RELAY_PORT,
        )
        if all(_is_free(ip, port) for ip in ips for port in ports):
            return ips
    raise CannotRunError('no free loopback addresses')


def _is_free(ip, port):
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind((ip, port))
        except OSError:
            return False
    return True


def free_address():
    """Return a free address on loopback."""
    with socket.socket() as sock:
        sock.bind(('127.0.0.1', 0))
        return f'127.0.0.1:{sock.getsockname()[1]}'


def run_case(play, folder):
    """Play a case and exit: 1 if the rule was broken, 0 if not, 2 if unsure.

    Args:
        play: Gets the stage; returns the broken rules as texts.
        folder: The folder of the case, for its record.
    """
    record = Record(Path(folder) / 'record.txt')
    code = 2
    with tempfile.TemporaryDirectory(prefix='review-') as temporary:
        store = MetadataStore(free_address())
        store.start()
        stage = Stage(record, Path(temporary), store)
        try:
            breaks = play(stage)
            for text in breaks:
                record.add(f'BROKEN {text}')
                print(f'BROKEN {text}')
            code = 1 if breaks else 0
        except (CannotRunError, OSError) as error:
            record.add(f'could not run: {error!r}')
            print(f'could not run: {error!r}')
        finally:
            for vm in stage.vms:
                vm.end()
            keep = os.environ.get('KEEP_LOGS')
            if keep:
                for vm in stage.vms:
                    Path(keep, f'{vm.name}.log').write_text(vm.log())
    record.add(f'exit {code}')
    print(f'exit {code}')
    sys.stdout.flush()
    os._exit(code)
