"""What an answer covered."""

import dataclasses

from chivepond.wire import missing_shard


@dataclasses.dataclass(slots=True, frozen=True)
class Coverage:
    """Shards of the snapshot, those searched, and the rest by name."""

    total: int
    covered: int
    missing: list[missing_shard.MissingShard]
