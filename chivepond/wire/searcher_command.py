"""A non-idempotent request as a searcher gets it."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class SearcherCommand:
    """What one POST /v1/command carries."""

    key: str
    service: str
    shard: str
    body: str
    remaining_ms: int
