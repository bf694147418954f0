"""The published versions of a service index."""

import dataclasses

from chivepond.wire import shard_map


@dataclasses.dataclass(slots=True, frozen=True)
class IndexRecord:
    """What the publisher of an index keeps on the platform.

    ``current`` is the version for new searches; versions that are not in
    ``published`` are withdrawn.
    """

    service: str
    index: str
    current: int
    published: list[shard_map.ShardMap]
