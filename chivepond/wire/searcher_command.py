"""A non-idempotent request, as sent to a searcher."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class SearcherCommand:
    """The body of POST /v1/command."""

    key: str
    service: str
    shard: str
    body: str
    remaining_ms: int
