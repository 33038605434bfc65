"""Selects the snapshot that a query is pinned to when it is admitted.

The newest published snapshot is pinned once each of its shards has a searcher
that can serve it: one that is reachable, not leaving, and not known to lack
the snapshot. Until then the previous snapshot stays in use, so a roll-over
loses no coverage.
"""

from dataclasses import dataclass

from basilwall.backend.pools import SearcherPools
from basilwall.configuration.state import PlatformState
from basilwall.parts.leaving_searchers import LeavingSearchers
from basilwall.parts.served_snapshots import ServedSnapshots
from basilwall.records.catalogue import Part, Snapshot
from basilwall.records.ids import ServiceName, SnapshotId


@dataclass(frozen=True, slots=True)
class Pin:
    """A pinned snapshot; `is_complete` if each of its parts can be served."""

    snapshot: Snapshot
    is_complete: bool


class Pinning:
    """Selects snapshots by the catalogue and the replies of searchers."""

    def __init__(
        self,
        state: PlatformState,
        pools: SearcherPools,
        leaving_searchers: LeavingSearchers,
        served_snapshots: ServedSnapshots,
    ) -> None:
        self._state = state
        self._pools = pools
        self._leaving_searchers = leaving_searchers
        self._served_snapshots = served_snapshots

    def pin(self, service: ServiceName) -> Pin | None:
        """Return the snapshot for a query that starts now.

        Args:
            service: The service to query.

        Returns:
            The newest snapshot of which every part can be served. If there is
            none, the one with the highest share of such parts. None if no
            snapshot with parts is published.
        """
        catalogue = self._state.catalogue_by_service.get(service)
        if catalogue is None:
            return None
        best = None
        best_share = -1.0
        for snapshot in catalogue.snapshots:
            share = self._servable_share(snapshot)
            if share > best_share:
                best, best_share = snapshot, share
        return None if best is None else Pin(best, best_share == 1)

    def _servable_share(self, snapshot: Snapshot) -> float:
        if not snapshot.parts:
            return -1
        servable = sum(
            self._can_serve(part, snapshot.snapshot_id)
            for part in snapshot.parts
        )
        return servable / len(snapshot.parts)

    def _can_serve(self, part: Part, snapshot: SnapshotId) -> bool:
        return any(
            not self._served_snapshots.lacks(address, snapshot)
            and not self._leaving_searchers.is_leaving(address)
            and self._pools.is_reachable(address)
            for address in part.searchers
        )
