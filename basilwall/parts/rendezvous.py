"""Rendezvous hashing: VMs agree on a choice without communicating.

Every VM ranks the same addresses in the same order. A VM that joins or leaves
doesn't change the order of the others.
"""

import hashlib
from collections.abc import Iterable

from basilwall.records.ids import VmAddress


def rank_addresses(
    addresses: Iterable[VmAddress],
    salt: str = '',
) -> list[VmAddress]:
    """Return the addresses in order of preference, the first choice first.

    Args:
        addresses: The addresses to rank.
        salt: Callers with different salts get different orders.
    """

    def weight(address: VmAddress) -> bytes:
        ranked = f'{salt}{address}'.encode()
        return hashlib.blake2b(ranked, digest_size=8).digest()

    return sorted(addresses, key=weight)
