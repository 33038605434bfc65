"""One answer of many: the greatest records of all shards that answered."""

import heapq
from collections.abc import Iterable, Iterator

#: A record of a searcher's answer, in bytes; a shorter rest is none.
RECORD_BYTES = 16


def merge_records(bodies: Iterable[bytes], top_records: int) -> bytes:
    """Return the greatest records of several answers, the greatest first.

    Args:
        bodies: The answers, each of records in no order.
        top_records: How many records to return at most.

    Returns:
        The records, compared byte by byte; equal ones all count.
    """
    records = (record for body in bodies for record in _records(body))
    return b''.join(heapq.nlargest(top_records, records))


def _records(body: bytes) -> Iterator[bytes]:
    for start in range(0, len(body) - RECORD_BYTES + 1, RECORD_BYTES):
        yield body[start : start + RECORD_BYTES]
