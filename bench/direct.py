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

from basilwall.load.plan import LoadPlan, draw_arrivals
from basilwall.records.catalogue import Snapshot
from basilwall.records.ids import InstanceName, SearcherAddress
from bench.report import quantile

THREADS = 300
MILLISECONDS = 1000


@dataclass
class DirectResult:
    """What the callers of a baseline saw; times are in milliseconds."""

    times: list[float] = field(default_factory=list)
    parts: int = 0
    answered: int = 0
    attempts: int = 0
    whole: int = 0

    def p99(self) -> float:
        """Return the p99 of all queries that ended by their deadline."""
        return quantile(self.times, 0.99)

    def coverage(self) -> float:
        """Return the share of parts that answered."""
        return self.answered / max(self.parts, 1)

    def extra(self) -> float:
        """Return the share of attempts beyond the least needed."""
        return self.attempts / max(self.parts, 1) - 1


class DirectFanOut:
    """A random replica each; another after `timeout`, if one is given."""

    def __init__(
        self,
        service: str,
        snapshot: Snapshot,
        deadline: float,
        timeout: float | None = None,
    ) -> None:
        self._service = service
        self._snapshot = snapshot
        self._deadline = deadline
        self._timeout = timeout or deadline
        self._source = random.Random(7)
        self._idle = defaultdict(deque)
        self._lock = threading.Lock()
        self.result = DirectResult()

    def run(self, plan: LoadPlan) -> DirectResult:
        """Send the arrivals of a plan."""
        started = time.monotonic() + 0.1
        with (
            ThreadPoolExecutor(THREADS) as parts,
            ThreadPoolExecutor(THREADS) as queries,
        ):
            for arrival in draw_arrivals(plan):
                due = started + arrival.at
                time.sleep(max(due - time.monotonic(), 0))
                queries.submit(self._query, parts, due)
        return self.result

    def _query(self, pool: ThreadPoolExecutor, due: float) -> None:
        end = due + self._deadline
        asked: list[Future[bool]] = [
            pool.submit(self._part, part.instance, part.searchers, end)
            for part in self._snapshot.parts
        ]
        answered = sum(one.result() for one in asked)
        with self._lock:
            self.result.parts += len(asked)
            self.result.answered += answered
            self.result.whole += answered == len(asked)
            self.result.times.append((time.monotonic() - due) * MILLISECONDS)

    def _part(
        self,
        instance: InstanceName,
        searchers: tuple[SearcherAddress, ...],
        end: float,
    ) -> bool:
        left = end - time.monotonic()
        while left > 0.001:
            address = self._source.choice(searchers)
            with self._lock:
                self.result.attempts += 1
            if self._ask(address, instance, min(self._timeout, left)):
                return True
            left = end - time.monotonic()
        return False

    def _ask(self, address: str, instance: str, timeout: float) -> bool:
        idle = self._idle[address]
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
                    'Timeout-Ms': str(int(timeout * MILLISECONDS)),
                    'Attempt-Id': 'a',
                },
            )
            body = connection.getresponse().read()
        except (OSError, http.client.HTTPException):
            connection.close()
            return False
        idle.append(connection)
        return msgspec.json.decode(body)['outcome'] == 'answered'
