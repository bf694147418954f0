"""A claimed non-idempotent request on its way to the owner."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class OwnerCommand:
    """What an entry asks of an owner, with the claim that it holds."""

    claim_version: int
    service: str
    key: str
    shard: str
    searcher_id: str
    body: str
    remaining_ms: int
