"""One shard of a shard map."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class ShardEntry:
    """A shard and the identifiers of the searchers that hold it."""

    shard: str
    searchers: list[str]
