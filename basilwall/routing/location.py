"""The location of this VM and its round-trip times to availability zones.

Round trips are first assumed from the zones' regions, then replaced by the
measured time to open a connection, which does not depend on a searcher's load.
"""

import threading
from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum

from basilwall.records.ids import Region, Zone


class Distance(Enum):
    """Where an availability zone lies relative to that of this VM."""

    SAME_ZONE = 'zone'
    SAME_REGION = 'region'
    OTHER_REGION = 'far'


#: Round trips assumed before the first connection to a zone.
ASSUMED_ROUND_TRIP_SECONDS = {
    Distance.SAME_ZONE: 0.001,
    Distance.SAME_REGION: 0.004,
    Distance.OTHER_REGION: 0.04,
}


@dataclass(frozen=True, slots=True)
class VmLocation:
    """The availability zone of this VM, and the region of every zone."""

    zone: Zone
    region_by_zone: Mapping[Zone, Region]

    def distance_to(self, zone: Zone) -> Distance:
        """Return where `zone` lies relative to that of this VM."""
        if zone == self.zone:
            return Distance.SAME_ZONE
        own_region = self.region_by_zone.get(self.zone)
        if (
            own_region is not None
            and self.region_by_zone.get(zone) == own_region
        ):
            return Distance.SAME_REGION
        return Distance.OTHER_REGION


class RoundTripTimes:
    """The round-trip time to each availability zone, in seconds."""

    def __init__(self, location: VmLocation) -> None:
        self._location = location
        self._measured_by_zone: dict[Zone, float] = {}
        self._lock = threading.Lock()

    def to_zone(self, zone: Zone) -> float:
        """Return the least measured round trip to `zone`, or the assumed."""
        measured = self._measured_by_zone.get(zone)
        if measured is not None:
            return measured
        return ASSUMED_ROUND_TRIP_SECONDS[self._location.distance_to(zone)]

    def record_connect_time(self, zone: Zone, seconds: float) -> None:
        """Record how long connecting to a searcher in `zone` took."""
        with self._lock:
            previous = self._measured_by_zone.get(zone, seconds)
            self._measured_by_zone[zone] = min(previous, seconds)
