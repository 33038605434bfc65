"""Request contents that have been answered, with the snapshot that did so.

A content that crashes every searcher is never recorded. The memory is bounded;
a content that was evicted is merely run on one searcher first once more.
"""

import threading
from collections import OrderedDict

from basilwall.records.ids import Fingerprint, SnapshotId

#: Contents kept; the one not recorded for the longest time is evicted first.
MAX_CONTENTS = 10_000


class KnownGood:
    """The snapshot that last answered each request content."""

    def __init__(self, max_contents: int = MAX_CONTENTS) -> None:
        self._max_contents = max_contents
        self._by_fingerprint: OrderedDict[Fingerprint, SnapshotId] = (
            OrderedDict()
        )
        self._lock = threading.Lock()

    def record(self, fingerprint: Fingerprint, snapshot: SnapshotId) -> None:
        """Record that a content was answered from a snapshot."""
        with self._lock:
            self._by_fingerprint[fingerprint] = snapshot
            self._by_fingerprint.move_to_end(fingerprint)
            if len(self._by_fingerprint) > self._max_contents:
                self._by_fingerprint.popitem(last=False)

    def snapshot_of(self, fingerprint: Fingerprint) -> SnapshotId | None:
        """Return the snapshot that last answered a content, if any."""
        return self._by_fingerprint.get(fingerprint)
