"""What the copies that each node keeps cost in memory."""

import random
import tracemalloc

from chivepond.capacity import reading
from chivepond.control import catalog, object_cache
from chivepond.wire import (
    codec,
    index_record,
    notice,
    shard_entry,
    shard_map,
)

_SHARD_COUNTS = (100, 400, 1600)
_BYTES_PER_KB = 1024


def measure_index() -> reading.Reading:
    """Measure one version of one index, with two replicas a shard."""
    costs = [_kept_kb(count) for count in _SHARD_COUNTS]
    return reading.Reading(
        name='one index version, two replicas a shard',
        grows_with='shards',
        unit='KB of memory',
        sizes=list(_SHARD_COUNTS),
        costs=costs,
    )


def _kept_kb(shards: int) -> float:
    raw = codec.encode(_record(shards))
    tracemalloc.start()
    cache = object_cache.ObjectCache()
    kept = catalog.Catalog(cache)
    body = codec.decode(notice.Notice, _notice(raw)).unwrap()
    cache.offer(body)
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    if kept.current('pass-lookup') is None:
        return float('nan')
    return used / _BYTES_PER_KB


def _notice(raw: bytes) -> bytes:
    return b'{"key":"index/pass-lookup","version":1,"body":%b}' % raw


def _record(shards: int) -> index_record.IndexRecord:
    rng = random.Random(shards)
    entries = [
        shard_entry.ShardEntry(
            shard=f'pass-lookup-{number}-0',
            searchers=[
                f'pass-lookup-{number}-dc-a-{rng.randrange(9)}',
                f'pass-lookup-{number}-dc-b-{rng.randrange(9)}',
            ],
        )
        for number in range(shards)
    ]
    return index_record.IndexRecord(
        service='pass-lookup',
        index='passes',
        current=1,
        published=[shard_map.ShardMap(version=1, shards=entries)],
    )
