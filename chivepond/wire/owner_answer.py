"""What an owner found in its shards."""

import dataclasses

from chivepond.wire import hit
from chivepond.wire import missing_shard


@dataclasses.dataclass(slots=True)
class OwnerAnswer:
    """Merged hits, the shards searched, and the rest with reasons.

    ``attempts`` counts the sub-queries sent, hedges and retries included;
    ``waited`` the shards whose work waited long in a queue.
    """

    request_id: str
    index_version: int
    covered: list[str]
    missing: list[missing_shard.MissingShard]
    hits: list[hit.Hit]
    attempts: int = 0
    waited: int = 0
