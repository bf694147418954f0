"""Index versions of each service, from the index records in the cache."""

import result

from chivepond.control import object_cache, shard_index
from chivepond.object_store import kinds
from chivepond.wire import codec, index_record, notice, shard_map


class Catalog:
    """Published index versions by service; withdrawn ones are removed."""

    __slots__ = ('_index_by_version_by_service', '_current_version_by_service')

    def __init__(self, cache: object_cache.ObjectCache) -> None:
        """Subscribe to the index records in ``cache``."""
        self._index_by_version_by_service: dict[
            str, dict[int, shard_index.ShardIndex]
        ] = {}
        self._current_version_by_service: dict[str, int] = {}
        cache.listen(self._on_notice)

    def current(self, service: str) -> shard_index.ShardIndex | None:
        """Return the index version for new searches, None if there is none."""
        version = self._current_version_by_service.get(service, 0)
        return self.at(service, version)

    def at(self, service: str, version: int) -> shard_index.ShardIndex | None:
        """Return a published index version, None if it is not published."""
        return self._index_by_version_by_service.get(service, {}).get(version)

    def _on_notice(self, update: notice.Notice) -> None:
        if not update.key.startswith(f'{kinds.INDEX}/'):
            return
        match codec.decode(index_record.IndexRecord, update.body):
            case result.Ok(record):
                self._index_by_version_by_service[record.service] = {
                    published_map.version: _shard_index(
                        record.index, published_map
                    )
                    for published_map in record.published
                }
                self._current_version_by_service[record.service] = (
                    record.current
                )


def _shard_index(
    index: str,
    published_map: shard_map.ShardMap,
) -> shard_index.ShardIndex:
    return shard_index.ShardIndex(
        index=index,
        version=published_map.version,
        searchers_by_shard={
            entry.shard: entry.searchers for entry in published_map.shards
        },
    )
