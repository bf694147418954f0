"""The shards of one index version."""

import dataclasses

from chivepond.wire import shard_entry


@dataclasses.dataclass(slots=True, frozen=True)
class ShardMap:
    """Which searchers hold which shard of one version."""

    version: int
    shards: list[shard_entry.ShardEntry]
