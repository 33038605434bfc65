"""Rendezvous hashing: members that agree on a choice without talking.

Each ranks the same addresses the same way. A member that comes or goes moves
only its own place.
"""

import hashlib
from collections.abc import Iterable

from basilwall.records.ids import VmAddress


def rank_addresses(addresses: Iterable[VmAddress]) -> list[VmAddress]:
    """Return the addresses, the first choice first."""
    return sorted(addresses, key=_weight)


def _weight(address: VmAddress) -> bytes:
    return hashlib.blake2b(address.encode(), digest_size=8).digest()
