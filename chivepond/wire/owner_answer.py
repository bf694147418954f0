"""An owner's response to the query for its shards."""

import dataclasses

from chivepond.wire import hit
from chivepond.wire import missing_shard


@dataclasses.dataclass(slots=True)
class OwnerAnswer:
    """Merged hits, the covered shards, and the missing ones with reasons.

    ``draining`` names the queried searchers that report themselves as
    draining. ``attempts`` counts the sub-queries sent, including hedges and
    retries. ``waited`` counts the shards with a long queueing time.
    """

    request_id: str
    index_version: int
    covered: list[str]
    missing: list[missing_shard.MissingShard]
    hits: list[hit.Hit]
    attempts: int = 0
    draining: list[str] = dataclasses.field(default_factory=list)
    waited: int = 0
