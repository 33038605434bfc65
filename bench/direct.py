"""Baselines: clients that fan out by themselves, without the tier.

They go to the same searchers at the same arrivals, on connections that are
kept and taken by last use.
"""

import http.client
import random
import threading
import time
from collections import defaultdict, deque
from concurrent.futures import Future, ThreadPoolExecutor
from dataclasses import dataclass, field

import msgspec

from basilwall.load.plan import LoadPlan, arrivals
from basilwall.records.catalogue import Snapshot
from basilwall.records.ids import InstanceName, SearcherAddress
from bench.report import quantile

THREADS_PER_POOL = 300
MS_PER_SECOND = 1000


@dataclass
class DirectResult:
    """What the callers of a baseline saw; times are in milliseconds."""

    latencies_ms: list[float] = field(default_factory=list)
    parts: int = 0
    answered: int = 0
    attempts: int = 0
    complete: int = 0

    def p99_ms(self) -> float:
        """Return the p99 of all queries that ended by their deadline."""
        return quantile(self.latencies_ms, 0.99)

    def coverage(self) -> float:
        """Return the share of parts that answered."""
        return self.answered / max(self.parts, 1)

    def extra_load(self) -> float:
        """Return the share of attempts beyond the least needed."""
        return self.attempts / max(self.parts, 1) - 1


class DirectFanOut:
    """A random replica each; another after `timeout`, if one is given."""

    def __init__(
        self,
        service: str,
        snapshot: Snapshot,
        query_timeout: float,
        timeout: float | None = None,
    ) -> None:
        self._service = service
        self._snapshot = snapshot
        self._query_timeout = query_timeout
        self._attempt_timeout = timeout or query_timeout
        self._rng = random.Random(7)
        self._idle_connections = defaultdict(deque)
        self._lock = threading.Lock()
        self.result = DirectResult()

    def run(self, plan: LoadPlan) -> DirectResult:
        """Send the arrivals of a plan."""
        started = time.monotonic() + 0.1
        with (
            ThreadPoolExecutor(THREADS_PER_POOL) as parts,
            ThreadPoolExecutor(THREADS_PER_POOL) as queries,
        ):
            for arrival in arrivals(plan):
                due = started + arrival.at
                time.sleep(max(due - time.monotonic(), 0))
                queries.submit(self._query, parts, due)
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
            self.result.parts += len(futures)
            self.result.answered += answered
            self.result.complete += answered == len(futures)
            self.result.latencies_ms.append(
                (time.monotonic() - due) * MS_PER_SECOND
            )

    def _query_part(
        self,
        instance: InstanceName,
        searchers: tuple[SearcherAddress, ...],
        deadline: float,
    ) -> bool:
        left = deadline - time.monotonic()
        while left > 0.001:
            address = self._rng.choice(searchers)
            with self._lock:
                self.result.attempts += 1
            if self._send_attempt(
                address, instance, min(self._attempt_timeout, left)
            ):
                return True
            left = deadline - time.monotonic()
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
