"""Where a shard can be searched."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class Place:
    """An owner node in a data centre, for some replicas of a shard."""

    data_centre: str
    node_id: str
