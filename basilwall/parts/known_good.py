"""Contents that were answered well, by the version that answered them.

A request that crashes whoever runs it never gets into this memory. It is
bounded: what falls out is only tried alone once more.
"""

import threading
from collections import OrderedDict

from basilwall.records.ids import Fingerprint, SnapshotId

#: Contents remembered, the one longest unused forgotten first.
MAX_CONTENTS = 10_000


class KnownGood:
    """The snapshot that last answered each content."""

    def __init__(self, max_contents: int = MAX_CONTENTS) -> None:
        self._max_contents = max_contents
        self._by_fingerprint: OrderedDict[Fingerprint, SnapshotId] = (
            OrderedDict()
        )
        self._lock = threading.Lock()

    def record(self, fingerprint: Fingerprint, snapshot: SnapshotId) -> None:
        """Remember that a content was answered from a snapshot."""
        with self._lock:
            self._by_fingerprint[fingerprint] = snapshot
            self._by_fingerprint.move_to_end(fingerprint)
            if len(self._by_fingerprint) > self._max_contents:
                self._by_fingerprint.popitem(last=False)

    def snapshot_of(self, fingerprint: Fingerprint) -> SnapshotId | None:
        """Return the snapshot that last answered a content."""
        return self._by_fingerprint.get(fingerprint)
