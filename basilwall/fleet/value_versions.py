"""Encodes values for other VMs, large ones as deltas of what these have.

The VMs of a region all ask for the same large value within a moment, so what
was encoded last is kept. Former versions are kept compressed, a few of them:
a VM that has an older one, or none, gets the value whole.
"""

import threading
import zlib
from collections import OrderedDict
from collections.abc import Mapping
from dataclasses import dataclass

from basilwall.fleet.changes import RelayedValue, ValueForm
from basilwall.fleet.revision_messages import WireRevision, encode_revision
from basilwall.fleet.value_deltas import compress, encode_delta
from basilwall.parts.revisions import RevisionRegister
from basilwall.records.catalogue import PublishedValue

#: Bodies from this size on are compressed, or sent as deltas.
MIN_LARGE_BYTES = 2048
#: Stands for a VM that has no version of a value.
NO_VERSION = 0
#: Former versions that are kept, of all values together.
MAX_FORMER_VERSIONS = 4


def large_values(register: RevisionRegister) -> list[PublishedValue]:
    """Return the large values of a register."""
    return [
        stored
        for stored in register.values_for(register.digest())
        if len(stored.body) >= MIN_LARGE_BYTES
    ]


@dataclass(frozen=True, slots=True)
class _Version:
    key: str
    revision: WireRevision


class ValueVersions:
    """The latest versions of large values, and how they are relayed."""

    def __init__(self) -> None:
        self._current_by_key: dict[str, PublishedValue] = {}
        self._former: OrderedDict[_Version, bytes] = OrderedDict()
        self._last_encoded: dict[str, tuple[_Version, RelayedValue]] = {}
        self._lock = threading.Lock()

    def note_change(self, published: PublishedValue) -> None:
        """Keep the former version of a value that has changed."""
        key = published.key
        is_large = len(published.body) >= MIN_LARGE_BYTES
        with self._lock:
            former = self._current_by_key.pop(key, None)
            self._last_encoded.pop(key, None)
            if is_large:
                self._current_by_key[key] = published
        if former is None:
            return
        compressed = compress(former.body)
        with self._lock:
            self._former[_Version(key, encode_revision(former.revision))] = (
                compressed
            )
            while len(self._former) > MAX_FORMER_VERSIONS:
                self._former.popitem(last=False)

    def encode(
        self,
        published: PublishedValue,
        known_revisions: Mapping[str, WireRevision],
    ) -> RelayedValue:
        """Return a value as it is relayed.

        Args:
            published: The value.
            known_revisions: Which version of large values the asking VM has,
                by key.
        """
        key, body = published.key, published.body
        revision = encode_revision(published.revision)
        if len(body) < MIN_LARGE_BYTES:
            return RelayedValue(key, revision, body, ValueForm.PLAIN)
        # One VM at a time: those that wait find what the first one encoded.
        with self._lock:
            known = _Version(key, known_revisions.get(key, NO_VERSION))
            if known not in self._former:
                known = _Version(key, NO_VERSION)
            last = self._last_encoded.get(key)
            if last and last[0] == known and last[1].revision == revision:
                return last[1]
            encoded = self._encode_large(published, known)
            self._last_encoded[key] = known, encoded
            return encoded

    def _encode_large(
        self, published: PublishedValue, known: _Version
    ) -> RelayedValue:
        key, body = published.key, published.body
        revision = encode_revision(published.revision)
        if known.revision == NO_VERSION:
            return RelayedValue(
                key, revision, compress(body), ValueForm.COMPRESSED
            )
        # What this VM compressed itself is no larger than it was.
        former = zlib.decompress(self._former[known])
        delta = encode_delta(former, body)
        return RelayedValue(
            key, revision, delta, ValueForm.DELTA, known.revision
        )
