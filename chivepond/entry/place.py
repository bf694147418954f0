"""An owner node that can search a shard."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class OwnerNode:
    """A node that owns replicas of a shard, and its data centre."""

    data_centre: str
    node_id: str
