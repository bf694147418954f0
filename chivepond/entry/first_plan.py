"""The initial assignment of the shards of an index version to owners."""

import dataclasses

from chivepond.control import shard_index
from chivepond.entry import place
from chivepond.wire import shard_entry


@dataclasses.dataclass(slots=True, frozen=True)
class InitialPlan:
    """The best owner for each shard; shared by searches, so read-only.

    ``unplaced`` lists the shards that no owner can serve.
    """

    index: shard_index.ShardIndex
    entries_by_place: dict[place.OwnerNode, list[shard_entry.ShardEntry]]
    place_by_shard: dict[str, place.OwnerNode]
    unplaced: list[str]
