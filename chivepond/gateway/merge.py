"""Merges the parts of a gathered answer."""

import heapq
from collections.abc import Iterable

#: The size of a record, in bytes; a shorter remainder is no record.
RECORD_BYTES = 16


def greatest(bodies: Iterable[bytes], count: int) -> bytes:
    """Return the ``count`` greatest records of all bodies, falling.

    Records compare byte by byte; equal ones all count.
    """
    records = [
        body[start : start + RECORD_BYTES]
        for body in bodies
        for start in range(0, len(body) - RECORD_BYTES + 1, RECORD_BYTES)
    ]
    return b''.join(heapq.nlargest(count, records))
