"""The searchers of each shard of one index version."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class ShardIndex:
    """One index version; ``searchers_by_shard`` has searcher ids."""

    index: str
    version: int
    searchers_by_shard: dict[str, list[str]]
