"""Generates the records of stand-in shards from the shard names."""

import functools
import zlib

from chivepond.wire import hit

_FIRST_NAMES = ('Asha', 'Bishnu', 'Carol', 'Dawa', 'Elena', 'Fraser')
_LAST_NAMES = ('Gurung', 'Hughes', 'Iyer', 'Lepcha', 'Moreau', 'Rai')
_SCORE_RANGE = 1000
_CACHE_SIZE = 4096


@functools.lru_cache(maxsize=_CACHE_SIZE)
def search(
    shard: str,
    version: int,
    query: str,
    limit: int,
    record_count: int,
) -> tuple[hit.Hit, ...]:
    """Return the best ``limit`` hits of one shard at one version.

    Hit bodies contain the version, so that checks detect mixed versions.
    Results are cached, so that a benchmark measures the system and not this
    function.
    """
    hits = [
        _record(shard, version, number)
        for number in range(record_count)
        if query.lower() in _name(shard, number).lower()
    ]
    hits.sort(key=lambda found: (-found.score, found.record_id))
    return tuple(hits[:limit])


def _record(shard: str, version: int, number: int) -> hit.Hit:
    return hit.Hit(
        record_id=f'{shard}/{number}',
        score=_hash(f'score {shard} {number}') % _SCORE_RANGE,
        shard=shard,
        body=f'{_name(shard, number)} v{version}',
    )


def _name(shard: str, number: int) -> str:
    name_hash = _hash(f'name {shard} {number}')
    first = _FIRST_NAMES[name_hash % len(_FIRST_NAMES)]
    last = _LAST_NAMES[name_hash // len(_FIRST_NAMES) % len(_LAST_NAMES)]
    return f'{first} {last}'


def _hash(text: str) -> int:
    return zlib.crc32(text.encode())
