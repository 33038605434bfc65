"""Digests of what a VM knows, and what two VMs lack of each other.

A digest names revisions only. Two VMs compare a hash over it first, and the
digest itself only if the hashes differ.
"""

import hashlib
from collections.abc import Mapping
from dataclasses import dataclass

HASH_BYTES = 8


@dataclass(frozen=True, slots=True)
class KeyDigest:
    """What one VM knows of a key: the revisions held and refused, or 0."""

    revision: int = 0
    refused: int = 0

    @property
    def highest(self) -> int:
        """The highest revision heard of."""
        return max(self.revision, self.refused)


EMPTY_KEY_DIGEST = KeyDigest()
Digest = Mapping[str, KeyDigest]


def digest_hash(digest: Digest) -> int:
    """Return a hash that is equal for equal digests."""
    lines = [
        f'{key} {known.revision} {known.refused}'
        for key, known in sorted(digest.items())
    ]
    content = '\n'.join(lines).encode(errors='replace')
    short = hashlib.blake2b(content, digest_size=HASH_BYTES).digest()
    return int.from_bytes(short)


def newer_values(mine: Digest, theirs: Digest) -> list[str]:
    """Return the keys whose value held here is news to the other VM.

    A revision that the other VM has refused is not sent again unasked.
    """
    return [
        key
        for key, known in mine.items()
        if known.revision > theirs.get(key, EMPTY_KEY_DIGEST).revision
        and known.revision != theirs.get(key, EMPTY_KEY_DIGEST).refused
    ]


def newer_refusals(mine: Digest, theirs: Digest) -> list[str]:
    """Return the keys whose refusal here is news to the other VM."""
    return [
        key
        for key, known in mine.items()
        if known.refused > theirs.get(key, EMPTY_KEY_DIGEST).highest
    ]
