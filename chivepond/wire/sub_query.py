"""One shard of one search, as a searcher gets it."""

import dataclasses


@dataclasses.dataclass(slots=True)
class SubQuery:
    """A query for one shard of one index version.

    ``attempt`` tells hedges of the same request apart. ``remaining_ms`` is
    the time left until nobody waits for the reply any more.
    """

    request_id: str
    attempt: int
    service: str
    shard: str
    index_version: int
    query: str
    limit: int
    remaining_ms: int
