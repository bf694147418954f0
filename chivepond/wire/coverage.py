"""The shards that a search response covers."""

import dataclasses

from chivepond.wire import missing_shard


@dataclasses.dataclass(slots=True, frozen=True)
class Coverage:
    """Numbers of shards in the snapshot and searched, and the missing ones."""

    total: int
    covered: int
    missing: list[missing_shard.MissingShard]
