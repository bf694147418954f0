"""What an owner found in its shards."""

import dataclasses

from chivepond.wire import hit
from chivepond.wire import missing_shard


@dataclasses.dataclass(slots=True)
class OwnerAnswer:
    """Merged hits, the shards searched, and the rest with reasons.

    ``attempts`` counts the sub-queries sent, hedges and retries included.
    ``draining`` names those of the searchers asked for that say of
    themselves that they drain.
    """

    request_id: str
    index_version: int
    covered: list[str]
    missing: list[missing_shard.MissingShard]
    hits: list[hit.Hit]
    attempts: int = 0
    draining: list[str] = dataclasses.field(default_factory=list)
