"""The shards of one index version, ready for planning."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class ShardIndex:
    """Which searchers hold each shard of one version."""

    index: str
    version: int
    searchers_by_shard: dict[str, list[str]]
