"""The deployment under test: VM processes, stand-ins behind proxies."""

import contextlib
import json
import os
import signal
import subprocess
import sys
import threading
import time
from dataclasses import dataclass, field

from basilwall.standin.metadata_store import MetadataStore
from basilwall.standin.platform_searcher import PlatformSearcherStandIn
from basilwall.standin.ports import reserved_ports
from soak.proxy import Proxy
from tests.entry_stage import (
    BOUNDS,
    REGIONS,
    ROUTES,
    SHARDS,
    ZONES,
    record,
    route,
    table,
)

HOST = '127.0.0.1'
SERVICES = ('single', *SHARDS)
CALLER_PORT, READINESS_PORT, CONTROL_PORT = 8080, 8081, 8082
RELAY_PORT = 8083
#: How long to wait for a process to end after SIGKILL.
KILL_TIMEOUT_SECONDS = 15


@dataclass
class DisturbanceLog:
    """What was disturbed when, in monotonic seconds."""

    spans: list = field(default_factory=list)

    def begin(self, target):
        """Record the start of a disturbance; return the function to end it."""
        span = [target, time.monotonic(), float('inf')]
        self.spans.append(span)

        def end():
            span[2] = time.monotonic()

        return end

    def is_disturbed(self, targets, since, until):
        """Return whether any of the targets was disturbed in an interval."""
        return any(
            target in targets and began < until and ended > since
            for target, began, ended in tuple(self.spans)
        )


@dataclass
class LimitSpan:
    """A limit that a searcher named, and when, in monotonic seconds."""

    searcher: object
    requests_per_second: float
    began_at: float
    ended_at: float = float('inf')


@dataclass
class EntryProcess:
    """One VM: its address on loopback and its process.

    `start_count` counts the processes that were started for it.
    """

    number: int
    ip: str
    zone: str
    node_file: object
    log: object
    process: object = None
    start_count: int = 0
    is_stopping: bool = False

    @property
    def caller_address(self):
        """Host and port that callers connect to."""
        return (self.ip, CALLER_PORT)

    def start(self):
        """Start the process without waiting until it is ready."""
        self.start_count += 1
        self.is_stopping = False
        self.process = subprocess.Popen(
            [sys.executable, '-m', 'basilwall.entry'],
            env={**os.environ, 'BASILWALL_NODE_FILE': str(self.node_file)},
            stdout=self.log.open('ab'),
            stderr=subprocess.STDOUT,
        )

    def signal(self, number):
        """Send a signal to the process if it runs."""
        if self.process.poll() is None:
            os.kill(self.process.pid, number)

    def kill(self):
        """Kill the process, also if it is paused."""
        if self.process is None or self.process.poll() is not None:
            return
        self.signal(signal.SIGCONT)
        self.process.kill()
        self.process.wait(KILL_TIMEOUT_SECONDS)


class SoakDeployment:
    """All processes and stand-ins of a soak run, and operator actions."""

    def __init__(self, folder, first_port, vms):
        self.disturbances = DisturbanceLog()
        self.folder = folder
        self.searchers = []
        self.drained_at = {}
        self.limit_spans = []
        self.table_version = 0
        self.published_at = {}
        self.lock = threading.Lock()
        self._ports = iter(range(first_port, first_port + 120))
        self.store = MetadataStore(self._next_address())
        self.store.start()
        self.store_proxy = self._start_proxy(self.store.address)
        self.proxy_by_id = {}
        self.publish_route_table()
        for number, service in enumerate(SERVICES):
            for zone in ZONES:
                self.add_searcher(service, zone, number)
        self.vms = [self._make_vm(number, vms) for number in range(vms)]

    def add_searcher(self, service, zone, number):
        """Start a searcher and write its entry to the store."""
        index = len(self.searchers)
        searcher_id = f'{service}.{zone}.{index}'
        records = [
            record(number * 1000 + index * 10 + offset) for offset in range(4)
        ]
        searcher = PlatformSearcherStandIn(
            self._next_address(), searcher_id, records, 0.004
        )
        searcher.start()
        self.proxy_by_id[searcher_id] = self._start_proxy(searcher.address)
        self.searchers.append(searcher)
        self.list_searcher(searcher, 'ready')
        return searcher

    def restart_searcher(self, ended):
        """Start a searcher that ended, under another id at its address."""
        with self.lock:
            service, zone, _ = ended.searcher_id.split('.')
            searcher_id = f'{service}.{zone}.{len(self.searchers)}'
            searcher = PlatformSearcherStandIn(
                ended.address, searcher_id, [ended.body], 0.004
            )
            searcher.crash.content = ended.crash.content
            searcher.start()
            proxy = self.proxy_by_id[ended.searcher_id]
            self.proxy_by_id[searcher_id] = proxy
            proxy.listen()
            self.searchers.append(searcher)
            self.store.remove(f'servers/{ended.searcher_id}')
            self.list_searcher(searcher, 'ready')

    def list_searcher(self, searcher, state):
        """Write the entry of a searcher to the store."""
        service, zone, _ = searcher.searcher_id.split('.')
        host, port = self.proxy_by_id[searcher.searcher_id].address
        entry = {
            'service': service,
            'address': f'{host}:{port}',
            'zone': zone,
            'version': 'v1',
            'capacity': 4,
            'state': state,
            'cold_left_ms': 0,
            'call_seq': 1,
            'born': 1,
        }
        key = f'servers/{searcher.searcher_id}'
        self.store.put(key, json.dumps(entry).encode())

    def publish_route_table(self):
        """Publish the next route table, with its version in a route prefix."""
        with self.lock:
            self.table_version += 1
            self._write_route_table()
            self.published_at[self.table_version] = time.monotonic()

    def restore_store(self, copy):
        """Let the store come back from a copy, then write all entries again."""
        with self.lock:
            self.store.restore(copy)
            self._write_route_table()
            for searcher in self.live_searchers():
                has_drained = searcher.searcher_id in self.drained_at
                self.list_searcher(
                    searcher, 'draining' if has_drained else 'ready'
                )

    def _write_route_table(self):
        version_route = route(f'/v{self.table_version}/', service='single')
        self.store.put(
            'op/config', table(self.table_version, [*ROUTES, version_route])
        )

    def live_searchers(self):
        """Return the searchers whose process has not ended."""
        return [one for one in self.searchers if not one.crash.has_ended]

    def rewrite_settings(self, vm):
        """Rewrite the settings file of a VM without changing a setting."""
        settings = json.loads(vm.node_file.read_text())
        settings['touched'] = time.monotonic()
        vm.node_file.write_text(json.dumps(settings))

    def close(self):
        """Stop all processes and stand-ins."""
        for vm in self.vms:
            vm.kill()
        for searcher in self.searchers:
            searcher.stop()
        for proxy in (self.store_proxy, *self.proxy_by_id.values()):
            proxy.close()
        self.store.stop()

    def _next_address(self):
        return f'{HOST}:{next(self._ports)}'

    def _start_proxy(self, target):
        host, _, port = target.rpartition(':')
        return Proxy((HOST, next(self._ports)), (host, int(port)))

    def _make_vm(self, number, count):
        # Each soak run has its own loopback network, so that runs in parallel
        # do not share addresses.
        base = self.store_proxy.address[1] // 128
        network = f'127.{1 + base // 256}.{base % 256}'
        ips = [f'{network}.{1 + index}' for index in range(count)]
        ip, zone = ips[number], ZONES[number % len(ZONES)]
        host, port = self.store_proxy.address
        settings = {
            'node': f'vm-{number}',
            'ip': ip,
            'zone': zone,
            'zones': REGIONS,
            'listen': {
                'front': f'{ip}:{CALLER_PORT}',
                'ready': f'{ip}:{READINESS_PORT}',
                'control': f'{ip}:{CONTROL_PORT}',
            },
            'internal_ports': [RELAY_PORT, RELAY_PORT],
            'seed_nodes': [f'{seed_ip}:{CONTROL_PORT}' for seed_ip in ips[:3]],
            'limits': {'memory_mb': 300, 'max_fds': 4100},
            'bounds': BOUNDS,
            'platform': {
                'address': f'{host}:{port}',
                'reads_per_s': 2000,
                'history_s': 20,
            },
        }
        path = self.folder / f'vm-{number}.json'
        path.write_text(json.dumps(settings))
        log = self.folder / f'vm-{number}.log'
        return EntryProcess(number, ip, zone, path, log)


@contextlib.contextmanager
def running_deployment(folder, vms):
    """Run a deployment while the `with` block runs."""
    with reserved_ports(120) as first_port:
        deployment = SoakDeployment(folder, first_port, vms)
        try:
            for vm in deployment.vms:
                vm.start()
            yield deployment
        finally:
            deployment.close()
