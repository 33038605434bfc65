"""Latency that the tier adds to a query, and processor time of an attempt.

The baseline is a client that sends one request to each instance itself, on
threads and persistent connections, to the same searchers in the same run.
The clients alternate, so that other load on the machine affects both.
"""

import http.client
import os
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from basilwall.load.plan import LoadPlan
from basilwall.load.run import LoadRun, read_counters
from bench.report import Row, quantile
from tests.processes import Deployment, deployment

SERVICE = 'depot-desk'
INSTANCES = 10
SEARCHERS_PER_INSTANCE = 3
ROUNDS = 20
QUERIES_PER_ROUND = 25
LOAD_QUERIES_PER_SECOND = 150
LOAD_SECONDS = 8
MS_PER_SECOND = 1000
CLOCK_TICKS_PER_SECOND = os.sysconf('SC_CLK_TCK')


class DirectClient:
    """Queries the first searcher of every instance in parallel."""

    def __init__(self, cluster: Deployment) -> None:
        self._pool = ThreadPoolExecutor(INSTANCES)
        self._connections = [
            http.client.HTTPConnection(
                cluster.searchers()[index * SEARCHERS_PER_INSTANCE]
            )
            for index in range(INSTANCES)
        ]

    def query(self) -> None:
        """Query all instances and read all replies."""
        for _ in self._pool.map(self._query_instance, self._connections):
            continue

    def _query_instance(self, connection: http.client.HTTPConnection) -> bytes:
        connection.request(
            'POST',
            f'/v1/{SERVICE}/x/query',
            b'{}',
            {'Snapshot': 's1', 'Timeout-Ms': '5000', 'Attempt-Id': 'a'},
        )
        return connection.getresponse().read()


class TierClient:
    """Queries an entry VM on one persistent connection."""

    def __init__(self, cluster: Deployment) -> None:
        self._connection = http.client.HTTPConnection(cluster.vms[0].caller)

    def query(self) -> None:
        """Send one query and read the complete reply."""
        self._connection.request(
            'POST',
            f'/v1/services/{SERVICE}/query',
            b'{}',
            {'Request-Timeout-Ms': '5000'},
        )
        response = self._connection.getresponse()
        response.read()
        assert response.status == 200


def run(folder: Path) -> list[Row]:
    """Measure added latency and attempt cost on one entry VM."""
    with deployment('qasr-al-jamr', folder, vms=1, service_ms=5) as cluster:
        return [
            *_measure_added_latency(cluster),
            *_measure_attempt_cost(cluster),
        ]


def _measure_added_latency(cluster: Deployment) -> list[Row]:
    clients = (DirectClient(cluster), TierClient(cluster))
    latencies_ms: tuple[list[float], list[float]] = ([], [])
    for client in clients:
        for _ in range(QUERIES_PER_ROUND):
            client.query()
    for _ in range(ROUNDS):
        for client, times in zip(clients, latencies_ms, strict=True):
            for _ in range(QUERIES_PER_ROUND):
                started = time.perf_counter()
                client.query()
                times.append((time.perf_counter() - started) * MS_PER_SECOND)
    rows = []
    for quantile_share in (0.5, 0.99):
        direct, tier = (
            quantile(times, quantile_share) for times in latencies_ms
        )
        rows.append(
            Row(
                f'one query at a time, p{quantile_share * 100:.0f}',
                f'{direct:.2f} ms direct, {tier:.2f} ms by the tier',
                f'{tier - direct:+.2f} ms',
            ),
        )
    return rows


def _measure_attempt_cost(cluster: Deployment) -> list[Row]:
    vm = cluster.vms[0]
    plan = LoadPlan(
        addresses=(vm.caller,),
        services=(SERVICE,),
        rate=LOAD_QUERIES_PER_SECOND,
        seconds=LOAD_SECONDS,
        timeout_ms=5000,
    )
    before, cpu_seconds = _count_attempts(vm), read_cpu_seconds(vm.process.pid)
    report = LoadRun(plan).run()
    attempts = _count_attempts(vm) - before
    cpu_seconds = read_cpu_seconds(vm.process.pid) - cpu_seconds
    latency = report.answered
    return [
        Row(
            f'{LOAD_QUERIES_PER_SECOND} queries a second',
            f'p50 {latency.p50_ms:.1f}, p99 {latency.p99_ms:.1f} ms;'
            f' {report.by_outcome}',
            f'{attempts / cpu_seconds:.0f} attempts a core second',
        ),
    ]


def _count_attempts(vm) -> int:
    counters = read_counters((vm.caller,))
    return sum(
        count for name, count in counters.items() if name.endswith('.attempts')
    )


def read_cpu_seconds(pid: int) -> float:
    """Return the processor time of a process so far, in seconds.

    It is user plus system time, from fields 14 and 15 of /proc/PID/stat.
    """
    fields = Path(f'/proc/{pid}/stat').read_text().rpartition(')')[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_SECOND
