"""Merges the answers of several shards into the greatest records of all."""

import heapq
from collections.abc import Iterable, Iterator

#: Size of a record in an answer; shorter trailing bytes are no record.
RECORD_BYTES = 16


def merge_records(bodies: Iterable[bytes], max_records: int) -> bytes:
    """Return the greatest records of several answers in descending order.

    Args:
        bodies: The answers, each a sequence of unsorted records.
        max_records: How many records to return at most.

    Returns:
        The records, compared byte by byte; duplicates are kept.
    """
    records = (record for body in bodies for record in _records(body))
    return b''.join(heapq.nlargest(max_records, records))


def _records(body: bytes) -> Iterator[bytes]:
    for start in range(0, len(body) - RECORD_BYTES + 1, RECORD_BYTES):
        yield body[start : start + RECORD_BYTES]
