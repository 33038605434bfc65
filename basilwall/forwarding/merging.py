"""Merges the answers of several shards into the greatest records of all."""

import re
from collections.abc import Iterable

#: Size of a record in an answer; shorter trailing bytes are no record.
RECORD_BYTES = 16
_RECORD = re.compile(b'.{%d}' % RECORD_BYTES, re.DOTALL)


def merge_records(bodies: Iterable[bytes], max_records: int) -> bytes:
    """Return the greatest records of several answers in descending order.

    Args:
        bodies: The answers, each a sequence of unsorted records.
        max_records: How many records to return at most.

    Returns:
        The records, compared byte by byte; duplicates are kept.
    """
    greatest: list[bytes] = []
    least_kept = b''
    for body in bodies:
        records: list[bytes] = _RECORD.findall(body)
        greatest += [record for record in records if record > least_kept]
        greatest = sorted(greatest, reverse=True)[:max_records]
        if greatest and len(greatest) == max_records:
            least_kept = greatest[-1]
    return b''.join(greatest)
