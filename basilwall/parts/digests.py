"""Digests of the revisions that a VM has, and their comparison.

A digest holds revisions without values. Two VMs first compare a hash of their
digests, and exchange the digests only if the hashes differ.
"""

import hashlib
from collections.abc import Mapping
from dataclasses import dataclass

from basilwall.records.revision import NO_REVISION, Revision

HASH_BYTES = 8


@dataclass(frozen=True, slots=True)
class KeyDigest:
    """The stored and the refused revision of a key on one VM."""

    revision: Revision = NO_REVISION
    refused: Revision = NO_REVISION

    @property
    def highest(self) -> Revision:
        """The highest revision known, stored or refused."""
        return max(self.revision, self.refused)


EMPTY_KEY_DIGEST = KeyDigest()
Digest = Mapping[str, KeyDigest]


def digest_hash(digest: Digest) -> int:
    """Return a hash that is equal for equal digests."""
    lines = [
        f'{key} {entry.revision} {entry.refused}'
        for key, entry in sorted(digest.items())
    ]
    content = '\n'.join(lines).encode(errors='replace')
    short = hashlib.blake2b(content, digest_size=HASH_BYTES).digest()
    return int.from_bytes(short)


def newer_values(mine: Digest, theirs: Digest) -> list[str]:
    """Return the keys of `mine` whose value is newer than that of `theirs`.

    A revision that the other VM has refused is left out.
    """
    return [
        key
        for key, entry in mine.items()
        if entry.revision > theirs.get(key, EMPTY_KEY_DIGEST).revision
        and entry.revision != theirs.get(key, EMPTY_KEY_DIGEST).refused
    ]


def newer_refusals(mine: Digest, theirs: Digest) -> list[str]:
    """Return the keys of `mine` whose refusal is new to the other VM."""
    return [
        key
        for key, entry in mine.items()
        if entry.refused > theirs.get(key, EMPTY_KEY_DIGEST).highest
    ]
