"""The shards of one index version."""

import dataclasses

from chivepond.wire import shard_entry


@dataclasses.dataclass(slots=True, frozen=True)
class ShardMap:
    """The shards of one index version, with the searchers that hold them."""

    version: int
    shards: list[shard_entry.ShardEntry]
