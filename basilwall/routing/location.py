"""Where this VM stands, and how far other availability zones are.

Distances start from what the layout suggests and are replaced by the time
that a connection to a zone took, which needs no answer of a busy searcher.
"""

import threading
from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum

from basilwall.records.ids import Region, Zone


class Distance(Enum):
    """How an availability zone lies to that of this VM."""

    SAME_ZONE = 'zone'
    SAME_REGION = 'region'
    OTHER_REGION = 'far'


#: Assumed round trips until one was measured, in seconds.
ASSUMED_ROUND_TRIP_SECONDS = {
    Distance.SAME_ZONE: 0.001,
    Distance.SAME_REGION: 0.004,
    Distance.OTHER_REGION: 0.04,
}


@dataclass(frozen=True, slots=True)
class VmLocation:
    """The availability zone of this VM and the regions of all zones."""

    zone: Zone
    region_by_zone: Mapping[Zone, Region]

    def distance_to(self, zone: Zone) -> Distance:
        """Return how `zone` lies to that of this VM."""
        if zone == self.zone:
            return Distance.SAME_ZONE
        own = self.region_by_zone.get(self.zone)
        if own is not None and self.region_by_zone.get(zone) == own:
            return Distance.SAME_REGION
        return Distance.OTHER_REGION


class RoundTripTimes:
    """The round trip to each availability zone, in seconds."""

    def __init__(self, location: VmLocation) -> None:
        self._location = location
        self._measured_by_zone: dict[Zone, float] = {}
        self._lock = threading.Lock()

    def to_zone(self, zone: Zone) -> float:
        """Return the least round trip seen to `zone`, or a first guess."""
        measured = self._measured_by_zone.get(zone)
        if measured is not None:
            return measured
        return ASSUMED_ROUND_TRIP_SECONDS[self._location.distance_to(zone)]

    def record_connect_time(self, zone: Zone, seconds: float) -> None:
        """Take in how long a connection to a searcher of `zone` took."""
        with self._lock:
            known = self._measured_by_zone.get(zone, seconds)
            self._measured_by_zone[zone] = min(known, seconds)
