"""A search of the shards that one owner serves."""

import dataclasses

from chivepond.wire import shard_entry


@dataclasses.dataclass(slots=True)
class OwnerQuery:
    """A query from an entry to an owner.

    Each shard lists the searchers that hold it, so that the owner can serve
    an index version that it has not received yet.
    """

    request_id: str
    service: str
    index_version: int
    query: str
    limit: int
    remaining_ms: int
    shards: list[shard_entry.ShardEntry]
