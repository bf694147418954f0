"""The records of the stand-in shards, made from their names."""

import functools
import zlib

from chivepond.wire import hit

_FIRST_NAMES = ('Asha', 'Bishnu', 'Carol', 'Dawa', 'Elena', 'Fraser')
_LAST_NAMES = ('Gurung', 'Hughes', 'Iyer', 'Lepcha', 'Moreau', 'Rai')
_SCORES = 1000
_KEPT = 4096


@functools.lru_cache(maxsize=_KEPT)
def search(
    shard: str,
    version: int,
    query: str,
    limit: int,
    records: int,
) -> tuple[hit.Hit, ...]:
    """Return the best hits of one shard at one version.

    The body of each tells its version, so that a mix would show.
    Answers are kept, so that a bench measures the system and not this.
    """
    found = [
        _record(shard, version, number)
        for number in range(records)
        if query.lower() in _name(shard, number).lower()
    ]
    found.sort(key=lambda one: (-one.score, one.record_id))
    return tuple(found[:limit])


def _record(shard: str, version: int, number: int) -> hit.Hit:
    return hit.Hit(
        record_id=f'{shard}/{number}',
        score=_hash(f'score {shard} {number}') % _SCORES,
        shard=shard,
        body=f'{_name(shard, number)} v{version}',
    )


def _name(shard: str, number: int) -> str:
    chosen = _hash(f'name {shard} {number}')
    first = _FIRST_NAMES[chosen % len(_FIRST_NAMES)]
    last = _LAST_NAMES[chosen // len(_FIRST_NAMES) % len(_LAST_NAMES)]
    return f'{first} {last}'


def _hash(text: str) -> int:
    return zlib.crc32(text.encode())
