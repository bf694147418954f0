"""The published versions of a service index."""

import dataclasses

from chivepond.wire import shard_map


@dataclasses.dataclass(slots=True, frozen=True)
class IndexRecord:
    """The record that the publisher of an index stores on the platform.

    ``current`` is the version that new searches use. Versions that are not in
    ``published`` are withdrawn.
    """

    service: str
    index: str
    current: int
    published: list[shard_map.ShardMap]
