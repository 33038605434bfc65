"""The values that a register keeps, and which removed keys it remembers.

A removed key is remembered by an empty value, so that an older value of it that
arrives late does not bring it back. Searchers come and go under new keys, so
only a number of removed keys is remembered; for the older ones there is one
revision up to which unknown keys count as removed.
"""

from basilwall.records.catalogue import PublishedValue
from basilwall.records.revision import NO_REVISION, Revision

#: Removed keys that are remembered; beyond this the older half is forgotten.
MAX_REMOVED_KEYS = 1024
#: Memory of a stored value beside its key and its body.
ENTRY_BYTES = 512


class StoredValues:
    """Published values by key; a removed key has one without a body."""

    def __init__(self) -> None:
        self.by_key: dict[str, PublishedValue] = {}
        #: Memory of all values, about.
        self.size_bytes = 0
        #: Highest revision of a removed key that is forgotten.
        self.forgotten_revision = NO_REVISION
        self._removed_revision_by_key: dict[str, Revision] = {}

    def known_revision(self, key: str) -> Revision:
        """Return the revision up to which values of a key are known."""
        stored = self.by_key.get(key)
        return stored.revision if stored else self.forgotten_revision

    def put(self, published: PublishedValue) -> None:
        """Store a value that is newer than the one of its key."""
        key = published.key
        self._drop(key)
        self.by_key[key] = published
        self.size_bytes += _size_of(published)
        self._removed_revision_by_key.pop(key, None)
        if not published.body:
            self._removed_revision_by_key[key] = published.revision
        if len(self._removed_revision_by_key) > MAX_REMOVED_KEYS:
            self._forget_removed()

    def _forget_removed(self) -> None:
        oldest_first = sorted(
            self._removed_revision_by_key.items(),
            key=lambda removed: removed[1],
        )
        for key, revision in oldest_first[: MAX_REMOVED_KEYS // 2]:
            self._drop(key)
            self._removed_revision_by_key.pop(key)
            self.forgotten_revision = max(self.forgotten_revision, revision)

    def _drop(self, key: str) -> None:
        former = self.by_key.pop(key, None)
        if former is not None:
            self.size_bytes -= _size_of(former)


def _size_of(published: PublishedValue) -> int:
    return ENTRY_BYTES + len(published.key) + len(published.body)
