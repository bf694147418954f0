"""Merges the results of shards into one search response."""

import heapq
from collections.abc import Iterable

#: The size of a record, in bytes; a shorter remainder of a body is ignored.
RECORD_BYTES = 16


def greatest(bodies: Iterable[bytes], count: int) -> bytes:
    """Return the ``count`` greatest records of all bodies, concatenated.

    The records are in descending byte order; duplicates are kept.
    """
    records = [
        body[start : start + RECORD_BYTES]
        for body in bodies
        for start in range(0, len(body) - RECORD_BYTES + 1, RECORD_BYTES)
    ]
    return b''.join(heapq.nlargest(count, records))
