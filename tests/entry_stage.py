"""A stage for one entry VM: store and searchers as stand-ins on loopback."""

import contextlib
import json
import logging
import socket
import time
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path

from basilwall.entry_vm import EntryVm, running_entry
from basilwall.platform.node import read_node_file
from basilwall.settings.current import CurrentSettings
from basilwall.standin.metadata_store import MetadataStore
from basilwall.standin.platform_searcher import PlatformSearcherStandIn
from basilwall.standin.ports import reserved_ports
from tests.forwarder import Forwarder

HOST = '127.0.0.1'
PATIENCE = 20.0
ZONES = ('near', 'far')
REGIONS = {'near': 'here', 'far': 'there'}
BOUNDS = {
    'retry_budget_ratio': 0.2,
    'budget_window_s': 10,
    'budget_slack': 56,
    'grace_s': 6,
    'drain_ms': 3000,
    'config_apply_ms': 3000,
}
LIMITS = {
    'max_header_bytes': 4096,
    'max_body_bytes': 65536,
    'header_timeout_ms': 700,
    'idle_timeout_ms': 15000,
}
#: More than a manifest usually has.
VALUE_BYTES = 4_194_304
SHARDS = ('shard-0', 'shard-1', 'shard-2', 'shard-3')
RECORD = 16


def wait_until(condition, patience=PATIENCE):
    """Wait until a condition holds; fail if it does not in time."""
    end = time.monotonic() + patience
    while time.monotonic() < end:
        if condition():
            return
        time.sleep(0.01)
    raise AssertionError('the condition did not come true')


def route(prefix, **fields):
    """Return one route, idempotent and of one service unless said."""
    return {
        'name': f'r{prefix}',
        'host': 'h.example',
        'prefix': prefix,
        'type': 'idempotent',
        'timeout_ms': 2000,
        'target_latency_ms': 400,
        'max_attempts': 2,
        'priority': 1,
        **fields,
    }


ROUTES = (
    route('/one/', service='single'),
    route('/once/', service='single', type='non_idempotent'),
    route(
        '/all/',
        gather=list(SHARDS),
        top_k=3,
        min_shard_share=0.75,
    ),
)


def table(version=1, routes=ROUTES):
    """Return the document that puts routes in force."""
    services = sorted({'single', 'other', *SHARDS})
    return json.dumps(
        {
            'version': version,
            'routes': list(routes),
            'services': [
                {'name': one, 'health_path': '/health', 'max_conns': 30}
                for one in services
            ],
            'limits': LIMITS,
        },
    ).encode()


@dataclass
class Stage:
    """What runs around the VM under test."""

    store: MetadataStore
    node_file: Path
    caller: str
    ready: str
    searcher_by_id: dict[str, PlatformSearcherStandIn] = field(
        default_factory=dict
    )
    vm: EntryVm | None = None
    vm_stack: contextlib.ExitStack = field(default_factory=contextlib.ExitStack)
    starts_by_id: Counter = field(default_factory=Counter)

    def list_searcher(self, searcher_id, service, state='ready', zone='near'):
        """Write the entry of a searcher; one that is ready has just started."""
        if state == 'ready':
            self.starts_by_id[searcher_id] += 1
        entry = {
            'service': service,
            'address': self.searcher_by_id[searcher_id].address,
            'zone': zone,
            'version': 'v1',
            'capacity': 2,
            'state': state,
            'cold_left_ms': 0,
            'call_seq': 1,
            'born': self.starts_by_id[searcher_id],
        }
        key = f'servers/{searcher_id}'
        return self.store.put(key, json.dumps(entry).encode())

    def verdicts(self, raw):
        """Return the verdicts that the VM logs while it serves a request."""
        return [one.verdict for one in self.ends(raw)]

    def ends(self, raw):
        """Return what the VM logs of the ends of requests while it serves."""
        logged = []
        handler = logging.Handler()
        handler.emit = logged.append
        log = logging.getLogger('basilwall.forwarding.reporting')
        log.addHandler(handler)
        log.setLevel(logging.INFO)
        try:
            ask(self.caller, raw)
        finally:
            log.removeHandler(handler)
        return [one for one in logged if hasattr(one, 'verdict')]

    def seen(self, service):
        """Return all requests that ran at the searchers of a service."""
        return [
            one
            for name, searcher in self.searcher_by_id.items()
            if name.startswith(f'{service}.')
            for one in searcher.seen
            if one.has_run
        ]

    def lose_vm(self):
        """End the VM and start another one, which knows nothing of it."""
        self.vm_stack.close()
        self.start_vm()

    def start_vm(self):
        """Start a VM at the addresses of the stage."""
        self.vm_stack = contextlib.ExitStack()
        current = CurrentSettings(self.node_file, read_node_file)
        self.vm = self.vm_stack.enter_context(running_entry(current))
        wait_until(lambda: is_ready(self.ready))


def ask(address, request, timeout=10):
    """Send raw bytes on a new connection and read until it ends."""
    with dial(address, timeout) as connection:
        connection.sendall(request)
        return read_to_end(connection)


def dial(address, timeout=10):
    """Connect to an address of the VM."""
    host, _, port = address.rpartition(':')
    return socket.create_connection((host, int(port)), timeout)


def read_to_end(connection):
    """Read until the other side closes."""
    read = b''
    with contextlib.suppress(ConnectionResetError):
        while chunk := connection.recv(65536):
            read += chunk
    return read


def request(path, request_id='id-1', method='GET', body=b'', **headers):
    """Return the bytes of a request that asks for the connection's end."""
    fields = {
        'Host': 'h.example',
        'Request-Id': request_id,
        'Request-Deadline-Ms': '1500',
        'Connection': 'close',
        **({'Content-Length': str(len(body))} if body else {}),
        **{name.replace('_', '-'): one for name, one in headers.items()},
    }
    lines = [f'{method} {path} HTTP/1.1']
    lines += [f'{name}: {one}' for name, one in fields.items() if one]
    return '\r\n'.join([*lines, '', '']).encode() + body


def status_of(answer):
    """Return the status of an answer's bytes, 0 if there is none."""
    return int(answer.split(b' ')[1]) if answer.startswith(b'HTTP/') else 0


def split(answer):
    """Return the headers by name in small letters, and the body."""
    head, _, body = answer.partition(b'\r\n\r\n')
    lines = [line.partition(b': ') for line in head.split(b'\r\n')[1:]]
    return {name.lower(): one for name, _, one in lines}, body


def record(number):
    """Return one record; greater numbers are greater records."""
    return number.to_bytes(RECORD, 'big')


@contextlib.contextmanager
def staged(folder):
    """Run a VM, its store and two searchers of each service.

    Yields:
        The stage; the VM is ready and knows all searchers.
    """
    services = ('single', *SHARDS)
    count = 2 * len(services)
    with reserved_ports(count + 5) as base, contextlib.ExitStack() as stack:
        ports = [f'{HOST}:{base + number}' for number in range(count + 5)]
        store = MetadataStore(ports[0])
        store.start()
        stack.callback(store.stop)
        settings_file = node_file(folder, ports)
        stage = Stage(store, settings_file, ports[1], ports[2])
        free = iter(ports[5:])
        store.put('op/config', table())
        for number, service in enumerate(services):
            for zone in ZONES:
                _add_searcher(stage, stack, service, zone, next(free), number)
        stage.start_vm()
        stack.callback(lambda: stage.vm_stack.close())
        yield stage


def publish_route(stage, version):
    """Write a table with one more route and return a path on that route."""
    added = route(f'/new-{version}/', service='single')
    stage.store.put('op/config', table(version, [*ROUTES, added]))
    return f'/new-{version}/a'


def seconds_until_served(caller, path):
    """Return how long a path is not served yet."""
    began = time.monotonic()
    wait_until(lambda: status_of(ask(caller, request(path))) == 200)
    return time.monotonic() - began


@dataclass
class OtherVm:
    """A second VM of a stage, which reaches the store by a way of its own."""

    caller: str
    way_to_store: Forwarder
    vm: EntryVm


@contextlib.contextmanager
def other_vm(stage, folder):
    """Run a second VM, which knows the first one as its seed.

    Yields:
        The second VM, once it is ready.
    """
    with reserved_ports(6) as base, contextlib.ExitStack() as stack:
        ports = [f'{HOST}:{base + number}' for number in range(6)]
        way = Forwarder(ports[5], stage.store.address)
        stack.callback(way.close)
        seed = json.loads(stage.node_file.read_text())['listen']['control']
        settings_file = node_file(folder, [ports[5], *ports[1:5]], seed)
        current = CurrentSettings(settings_file, read_node_file)
        vm = stack.enter_context(running_entry(current))
        wait_until(lambda: is_ready(ports[2]))
        yield OtherVm(ports[1], way, vm)


def is_ready(address):
    with contextlib.suppress(OSError):
        return status_of(ask(address, request('/v1/readiness'))) == 200
    return False


def _add_searcher(stage, stack, service, zone, address, number):
    name = f'{service}.{zone}'
    records = [record(number * 10 + place) for place in range(4)]
    searcher = PlatformSearcherStandIn(address, name, records)
    searcher.start()
    stack.callback(searcher.stop)
    stage.searcher_by_id[name] = searcher
    stage.list_searcher(name, service, zone=zone)


def _metrics_host(ports):
    """Return a loopback address of its own: the metrics port is fixed."""
    number = int(ports[0].rpartition(':')[2]) // 128
    return f'127.0.{number // 256}.{number % 256}'


def node_file(folder, ports, seed=None):
    """Write the settings of a VM, and return the path of the file."""
    content = {
        'node': 'vm-1',
        'ip': _metrics_host(ports),
        'zone': 'near',
        'region': 'here',
        'zones': REGIONS,
        'listen': {'front': ports[1], 'ready': ports[2], 'control': ports[3]},
        'internal_ports': [int(ports[4].rpartition(':')[2])] * 2,
        'seed_nodes': [seed or ports[3]],
        'limits': {'memory_mb': 300, 'max_fds': 4100},
        'bounds': BOUNDS,
        'heartbeat_ms': 1200,
        'platform': {
            'address': ports[0],
            'reads_per_s': 2000,
            'history_s': 20,
            'value_bytes': VALUE_BYTES,
        },
        'something_new': True,
    }
    path = folder / 'node.json'
    path.write_text(json.dumps(content))
    return path
