"""What an owner found in its shards."""

import dataclasses

from chivepond.wire import hit
from chivepond.wire import missing_shard


@dataclasses.dataclass(slots=True)
class OwnerAnswer:
    """Merged hits, the shards searched, and the rest with reasons.

    ``draining`` names those of the searchers asked for that say of
    themselves that they drain.
    ``attempts`` counts the sub-queries sent, hedges and retries included;
    ``waited`` the shards whose work waited long in a queue.
    """

    request_id: str
    index_version: int
    covered: list[str]
    missing: list[missing_shard.MissingShard]
    hits: list[hit.Hit]
    attempts: int = 0
    draining: list[str] = dataclasses.field(default_factory=list)
    waited: int = 0
