"""Rendezvous hashing: VMs agree on a choice without communicating.

Every VM ranks the same addresses in the same order. A VM that joins or leaves
doesn't change the order of the others.
"""

import hashlib
from collections.abc import Iterable

from basilwall.records.ids import VmAddress


def rank_addresses(addresses: Iterable[VmAddress]) -> list[VmAddress]:
    """Return the addresses in order of preference, the first choice first."""
    return sorted(addresses, key=_weight)


def _weight(address: VmAddress) -> bytes:
    return hashlib.blake2b(address.encode(), digest_size=8).digest()
