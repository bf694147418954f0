"""A search of one shard, as sent to a searcher."""

import dataclasses


@dataclasses.dataclass(slots=True)
class SubQuery:
    """A query for one shard of one index version.

    ``attempt`` distinguishes the hedges of one request. ``remaining_ms`` is
    the time until the reply is no longer needed.
    """

    request_id: str
    attempt: int
    service: str
    shard: str
    index_version: int
    query: str
    limit: int
    remaining_ms: int
