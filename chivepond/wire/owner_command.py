"""A claimed non-idempotent request, as sent to the owner."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class OwnerCommand:
    """A request from an entry to an owner, with the version of its claim."""

    claim_version: int
    service: str
    key: str
    shard: str
    searcher_id: str
    body: str
    remaining_ms: int
