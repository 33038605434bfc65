"""Which snapshots each searcher serves, according to its last replies.

The platform publishes a snapshot before every searcher has loaded it. Replies
are more recent than what is published, so they take precedence. A report
expires, because a searcher that no longer gets requests may have loaded other
snapshots since.
"""

import threading
from collections import OrderedDict
from dataclasses import dataclass

from basilwall.parts.clock import Clock
from basilwall.records.ids import SearcherAddress, SnapshotId

#: Time after which a report or a denial expires.
REPORT_TTL_SECONDS = 30.0
#: Least time between two probes of a searcher that lacks a snapshot.
PROBE_INTERVAL_SECONDS = 1.0
#: Age from which a report is refreshed by a reply that says the same.
REFRESH_INTERVAL_SECONDS = 1.0
MAX_SEARCHERS = 20_000
MAX_DENIALS = 20_000

_Denial = tuple[SearcherAddress, SnapshotId]


@dataclass(frozen=True, slots=True)
class SnapshotReport:
    """The snapshots that a searcher named in a reply.

    `reported_at` is in monotonic seconds.
    """

    serves: tuple[SnapshotId, ...]
    reported_at: float


class ServedSnapshots:
    """The last report of each searcher; the oldest is evicted first.

    A denial (a reply that doesn't come from the requested snapshot) is kept
    separately if the reply names no snapshots, or names the requested one.
    """

    def __init__(
        self,
        clock: Clock,
        ttl_seconds: float = REPORT_TTL_SECONDS,
        max_searchers: int = MAX_SEARCHERS,
    ) -> None:
        self._clock = clock
        self._ttl_seconds = ttl_seconds
        self._max_searchers = max_searchers
        self._by_address: OrderedDict[SearcherAddress, SnapshotReport] = (
            OrderedDict()
        )
        self._denied_at: OrderedDict[_Denial, float] = OrderedDict()
        self._lock = threading.Lock()

    def record_reply(
        self,
        address: SearcherAddress,
        serves: tuple[SnapshotId, ...],
        requested: SnapshotId,
        *,
        is_denied: bool,
    ) -> None:
        """Record which snapshots a reply says that the searcher serves.

        Args:
            address: The searcher.
            serves: The snapshots that the reply names, if any.
            requested: The snapshot of the request.
            is_denied: True if the reply is not from the requested snapshot.
        """
        if serves:
            self._note_serves(address, serves)
        if is_denied and (not serves or requested in serves):
            self._note_denial((address, requested))
        elif (address, requested) in self._denied_at:
            with self._lock:
                self._denied_at.pop((address, requested), None)

    def lacks(self, address: SearcherAddress, snapshot: SnapshotId) -> bool:
        """Return whether a searcher is known not to serve a snapshot."""
        denied_at = self._denied_at.get((address, snapshot))
        if denied_at is not None and self._is_fresh(denied_at):
            return True
        report = self._by_address.get(address)
        if report is None or snapshot in report.serves:
            return False
        return self._is_fresh(report.reported_at)

    def claim_probe(
        self,
        address: SearcherAddress,
        snapshot: SnapshotId,
    ) -> bool:
        """Return whether to send a request to a searcher that lacks a snapshot.

        Without probes, a searcher would get no requests until its report
        expires, although it may have loaded the snapshot.

        Args:
            address: A searcher that is known to lack the snapshot.
            snapshot: The snapshot to request.

        Returns:
            True for one caller in each `PROBE_INTERVAL_SECONDS`.
        """
        now = self._clock.monotonic()
        with self._lock:
            denied_at = self._denied_at.get((address, snapshot))
            report = self._by_address.get(address)
            known_at = max(denied_at or 0, report.reported_at if report else 0)
            if now - known_at < PROBE_INTERVAL_SECONDS:
                return False
            if denied_at is not None:
                self._denied_at[address, snapshot] = now
            if report is not None:
                self._by_address[address] = SnapshotReport(report.serves, now)
        return True

    def __len__(self) -> int:
        """Return the number of searchers with a report."""
        return len(self._by_address)

    def _is_fresh(self, noted_at: float) -> bool:
        return self._clock.monotonic() - noted_at < self._ttl_seconds

    def _note_serves(
        self,
        address: SearcherAddress,
        serves: tuple[SnapshotId, ...],
    ) -> None:
        now = self._clock.monotonic()
        report = self._by_address.get(address)
        is_recent = (
            report is not None
            and now - report.reported_at < REFRESH_INTERVAL_SECONDS
        )
        if is_recent and report is not None and report.serves == serves:
            return
        with self._lock:
            self._by_address[address] = SnapshotReport(serves, now)
            self._by_address.move_to_end(address)
            while len(self._by_address) > self._max_searchers:
                self._by_address.popitem(last=False)

    def _note_denial(self, denial: _Denial) -> None:
        with self._lock:
            self._denied_at[denial] = self._clock.monotonic()
            self._denied_at.move_to_end(denial)
            while len(self._denied_at) > MAX_DENIALS:
                self._denied_at.popitem(last=False)
