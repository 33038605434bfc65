"""Processor time of scatter-gather per part, without network access.

Fake pools answer immediately on the thread of the caller, which leaves the
choice of replicas, the creation of requests and the gathering of replies.
"""

import random
import time
from collections.abc import Iterable
from pathlib import Path

from basilwall.backend.pool import AttemptJob
from basilwall.backend.pools import SearcherPools
from basilwall.backend.trusting_crash_tracker_test import TrustingCrashTracker
from basilwall.configuration.state import PlatformState
from basilwall.document.model import Document
from basilwall.parts.attempt_ids import AttemptIds
from basilwall.parts.clock import SystemClock
from basilwall.parts.leaving_searchers import LeavingSearchers
from basilwall.parts.replica_choice import LatencyEstimate
from basilwall.parts.served_snapshots import ServedSnapshots
from basilwall.query.pinning import Pinning
from basilwall.query.policy import Policies
from basilwall.query.progress import Query
from basilwall.query.runner import QueryRunner
from basilwall.query.sending import Backends
from basilwall.records.attempt import Answered
from basilwall.records.catalogue import Catalogue, Part, Snapshot
from basilwall.records.ids import SearcherAddress
from bench.report import Row
from bench.slopes import MICROSECONDS_PER_SECOND, Point, slope_row

PART_COUNTS = (10, 100, 400, 1400)
REPLICAS = 3
ATTEMPTS_PER_POINT = 14_000


def run(_: Path) -> Iterable[Row]:
    """Measure queries over several numbers of parts."""
    points = [
        Point(part_count, _query_microseconds(part_count))
        for part_count in PART_COUNTS
    ]
    yield slope_row('query by parts', 'us', points)


class _ImmediatePool:
    in_flight = 0
    connections = 25
    is_reachable = True

    def __init__(self, address: SearcherAddress, clock: SystemClock) -> None:
        self.address = address
        self.estimate = LatencyEstimate(clock)

    def submit(self, job: AttemptJob) -> None:
        job.searcher = self.address
        snapshot = job.request.snapshot
        job.deliver(job, Answered(self.address, snapshot, b'[1]', 9, 9))

    def close(self) -> None:
        """Do nothing, as the fake pool has no connections."""


class _ImmediatePools(SearcherPools):
    def _open(self, address: SearcherAddress, share: int) -> None:
        self.by_address[address] = _ImmediatePool(address, self._clock)


def _query_microseconds(part_count: int) -> float:
    clock = SystemClock()
    leaving_searchers = LeavingSearchers(clock, 'a')
    served_snapshots = ServedSnapshots(clock)
    pools = _ImmediatePools(None, clock, leaving_searchers, 1, random.Random(1))
    state = PlatformState()
    catalogue = Catalogue('wide', (_make_snapshot(part_count),))
    state.catalogue_by_service['wide'] = catalogue
    pools.apply_catalogue(catalogue)
    runner = QueryRunner(
        Pinning(state, pools, leaving_searchers, served_snapshots),
        Policies(),
        Backends(pools, served_snapshots, AttemptIds('a'), clock),
        TrustingCrashTracker(),
    )
    document = Document(service='wide')
    rounds = ATTEMPTS_PER_POINT // part_count
    started = time.process_time()
    for _ in range(rounds):
        query = Query('r', 'wide', b'{}', clock.monotonic() + 60)
        assert runner.run(query, document).coverage.is_complete
    return (time.process_time() - started) / rounds * MICROSECONDS_PER_SECOND


def _make_snapshot(part_count: int) -> Snapshot:
    return Snapshot(
        's1',
        tuple(
            Part(
                f'part-{number}',
                tuple(
                    f'10.0.{number}.{replica}:1' for replica in range(REPLICAS)
                ),
                9,
            )
            for number in range(part_count)
        ),
    )
