"""Baseline clients that query all parts themselves, without the tier.

They query the same searchers at the same arrival times as the load on the
tier. Connections are persistent; the most recently used one is reused first.
"""

import http.client
import random
import threading
import time
from collections import defaultdict, deque
from concurrent.futures import Future, ThreadPoolExecutor
from dataclasses import dataclass, field

import msgspec

from basilwall.load.plan import LoadPlan, draw_arrivals
from basilwall.records.catalogue import Snapshot
from basilwall.records.ids import InstanceName, SearcherAddress
from bench.report import quantile

THREADS_PER_POOL = 300
MS_PER_SECOND = 1000


@dataclass
class DirectResult:
    """Result of a baseline client.

    Attributes:
        latencies_ms: Time from the due arrival to the end of each query.
        part_count: Parts queried, over all queries.
        answered_parts: Parts that answered in time.
        attempts: Attempts sent, with retries.
        complete_queries: Queries of which all parts answered in time.
    """

    latencies_ms: list[float] = field(default_factory=list)
    part_count: int = 0
    answered_parts: int = 0
    attempts: int = 0
    complete_queries: int = 0

    def p99_latency_ms(self) -> float:
        """Return the 99th percentile of query latency, in ms.

        Queries that reached their deadline are included.
        """
        return quantile(self.latencies_ms, 0.99)

    def coverage(self) -> float:
        """Return the share of parts that answered."""
        return self.answered_parts / max(self.part_count, 1)

    def extra_load(self) -> float:
        """Return attempts beyond one per part, as a share of the parts."""
        return self.attempts / max(self.part_count, 1) - 1


class DirectFanOut:
    """Queries one random replica of each part, and retries on failure.

    A retry goes to a replica that is again chosen at random, until the query
    times out.

    Args:
        service: The service to query.
        snapshot: The snapshot to query.
        query_timeout: Time limit of a query, in seconds.
        attempt_timeout: Time limit of an attempt, in seconds; by default that
            of the query.
    """

    def __init__(
        self,
        service: str,
        snapshot: Snapshot,
        query_timeout: float,
        attempt_timeout: float | None = None,
    ) -> None:
        self._service = service
        self._snapshot = snapshot
        self._query_timeout = query_timeout
        self._attempt_timeout = attempt_timeout or query_timeout
        self._rng = random.Random(7)
        self._idle_connections = defaultdict(deque)
        self._lock = threading.Lock()
        self.result = DirectResult()

    def run(self, plan: LoadPlan) -> DirectResult:
        """Send one query at each arrival time of a plan."""
        started = time.monotonic() + 0.1
        with (
            ThreadPoolExecutor(THREADS_PER_POOL) as part_pool,
            ThreadPoolExecutor(THREADS_PER_POOL) as query_pool,
        ):
            for arrival in draw_arrivals(plan):
                due = started + arrival.at
                time.sleep(max(due - time.monotonic(), 0))
                query_pool.submit(self._query, part_pool, due)
        return self.result

    def _query(self, pool: ThreadPoolExecutor, due: float) -> None:
        deadline = due + self._query_timeout
        futures: list[Future[bool]] = [
            pool.submit(
                self._query_part, part.instance, part.searchers, deadline
            )
            for part in self._snapshot.parts
        ]
        answered = sum(future.result() for future in futures)
        with self._lock:
            self.result.part_count += len(futures)
            self.result.answered_parts += answered
            self.result.complete_queries += answered == len(futures)
            self.result.latencies_ms.append(
                (time.monotonic() - due) * MS_PER_SECOND
            )

    def _query_part(
        self,
        instance: InstanceName,
        searchers: tuple[SearcherAddress, ...],
        deadline: float,
    ) -> bool:
        time_left = deadline - time.monotonic()
        while time_left > 0.001:
            address = self._rng.choice(searchers)
            with self._lock:
                self.result.attempts += 1
            if self._send_attempt(
                address, instance, min(self._attempt_timeout, time_left)
            ):
                return True
            time_left = deadline - time.monotonic()
        return False

    def _send_attempt(
        self, address: str, instance: str, timeout: float
    ) -> bool:
        idle = self._idle_connections[address]
        try:
            connection = idle.pop()
        except IndexError:
            connection = http.client.HTTPConnection(address)
        connection.timeout = timeout
        if connection.sock is not None:
            connection.sock.settimeout(timeout)
        try:
            connection.request(
                'POST',
                f'/v1/{self._service}/{instance}/query',
                b'{}',
                {
                    'Snapshot': self._snapshot.snapshot_id,
                    'Timeout-Ms': str(int(timeout * MS_PER_SECOND)),
                    'Attempt-Id': 'a',
                },
            )
            body = connection.getresponse().read()
        except (OSError, http.client.HTTPException):
            connection.close()
            return False
        idle.append(connection)
        return msgspec.json.decode(body)['outcome'] == 'answered'
