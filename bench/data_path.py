"""What the tier adds to a query, and what an attempt costs its VM.

The baseline is a client that fans out by itself, on threads and kept-alive
connections, to the same searchers in the same run; the two take turns, so
that other work on the machine hits both.
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
SEARCHERS = 3
ROUNDS = 20
QUERIES_A_ROUND = 25
LOAD_RATE = 150
LOAD_SECONDS = 8
MILLISECONDS = 1000
TICKS = os.sysconf('SC_CLK_TCK')


class DirectClient:
    """Asks the first searcher of each instance at once."""

    def __init__(self, made: Deployment) -> None:
        self._pool = ThreadPoolExecutor(INSTANCES)
        self._connections = [
            http.client.HTTPConnection(made.searchers()[place * SEARCHERS])
            for place in range(INSTANCES)
        ]

    def query(self) -> None:
        """Fan out and read all replies."""
        for _ in self._pool.map(self._ask, self._connections):
            continue

    def _ask(self, connection: http.client.HTTPConnection) -> bytes:
        connection.request(
            'POST',
            f'/v1/{SERVICE}/x/query',
            b'{}',
            {'Snapshot': 's1', 'Timeout-Ms': '5000', 'Attempt-Id': 'a'},
        )
        return connection.getresponse().read()


class TierClient:
    """Asks the VM on one kept-alive connection."""

    def __init__(self, made: Deployment) -> None:
        self._connection = http.client.HTTPConnection(made.vms[0].caller)

    def query(self) -> None:
        """Ask once and read the whole reply."""
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
    """Run both measurements."""
    with deployment('qasr-al-jamr', folder, vms=1, service_ms=5) as made:
        return [*_added(made), *_cost(made)]


def _added(made: Deployment) -> list[Row]:
    clients = (DirectClient(made), TierClient(made))
    taken: tuple[list[float], list[float]] = ([], [])
    for client in clients:
        for _ in range(QUERIES_A_ROUND):
            client.query()
    for _ in range(ROUNDS):
        for client, times in zip(clients, taken, strict=True):
            for _ in range(QUERIES_A_ROUND):
                started = time.perf_counter()
                client.query()
                times.append((time.perf_counter() - started) * MILLISECONDS)
    rows = []
    for share in (0.5, 0.99):
        direct, tier = (quantile(times, share) for times in taken)
        rows.append(
            Row(
                f'one query at a time, p{share * 100:.0f}',
                f'{direct:.2f} ms direct, {tier:.2f} ms by the tier',
                f'{tier - direct:+.2f} ms',
            ),
        )
    return rows


def _cost(made: Deployment) -> list[Row]:
    vm = made.vms[0]
    plan = LoadPlan(
        addresses=(vm.caller,),
        services=(SERVICE,),
        rate=LOAD_RATE,
        seconds=LOAD_SECONDS,
        timeout_ms=5000,
    )
    before, spent = _attempts(vm), processor_seconds(vm.process.pid)
    report = LoadRun(plan).run()
    attempts = _attempts(vm) - before
    spent = processor_seconds(vm.process.pid) - spent
    taken = report.answered
    return [
        Row(
            f'{LOAD_RATE} queries a second',
            f'p50 {taken.p50_ms:.1f}, p99 {taken.p99_ms:.1f} ms;'
            f' {report.by_outcome}',
            f'{attempts / spent:.0f} attempts a core second',
        ),
    ]


def _attempts(vm) -> int:
    counters = read_counters((vm.caller,))
    return sum(
        count for name, count in counters.items() if name.endswith('.attempts')
    )


def processor_seconds(pid: int) -> float:
    """Return the processor time that a process has taken so far."""
    fields = Path(f'/proc/{pid}/stat').read_text().rpartition(')')[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS
