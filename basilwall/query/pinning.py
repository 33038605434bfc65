"""The snapshot that a query is pinned to when it is admitted.

The newest published snapshot is pinned once each of its parts has a searcher
that may serve it: one that can be reached, is not leaving, and is not known
to lack it. Until then the former snapshot stays, so a roll-over costs no
coverage.
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
    """A pinned snapshot; `whole` if no part of it is known to be out."""

    snapshot: Snapshot
    is_complete: bool


class Pinning:
    """Picks snapshots by what is published and what replies have shown."""

    def __init__(
        self,
        state: PlatformState,
        pools: SearcherPools,
        departures: LeavingSearchers,
        sightings: ServedSnapshots,
    ) -> None:
        self._state = state
        self._pools = pools
        self._departures = departures
        self._sightings = sightings

    def pin(self, service: ServiceName) -> Pin | None:
        """Pick the snapshot for a query that starts now.

        Args:
            service: The service that is asked.

        Returns:
            The newest snapshot that each part can serve; if there is none,
            the one with the highest share of such parts; None if no snapshot
            with parts is published.
        """
        catalogue = self._state.catalogue_by_service.get(service)
        if catalogue is None:
            return None
        best = None
        highest = -1.0
        for snapshot in catalogue.snapshots:
            share = self._servable_share(snapshot)
            if share > highest:
                best, highest = snapshot, share
        return None if best is None else Pin(best, highest == 1)

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
            not self._sightings.lacks(address, snapshot)
            and not self._departures.is_leaving(address)
            and self._pools.is_reachable(address)
            for address in part.searchers
        )
