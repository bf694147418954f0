"""The shards of one search that one owner serves."""

import dataclasses

from chivepond.wire import shard_entry


@dataclasses.dataclass(slots=True)
class OwnerQuery:
    """What an entry asks of an owner.

    Each shard comes with the searchers that hold it, so that an owner need
    not have heard of the index version yet.
    """

    request_id: str
    service: str
    index_version: int
    query: str
    limit: int
    remaining_ms: int
    shards: list[shard_entry.ShardEntry]
