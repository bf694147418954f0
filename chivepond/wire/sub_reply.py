"""A searcher's reply for one shard."""

import dataclasses

from chivepond.wire import hit


@dataclasses.dataclass(slots=True)
class SubReply:
    """One line of the reply to a ``QueryBatch``.

    ``outcome`` is one of the constants in ``shard_outcome``; ``hits`` is
    empty unless it is ``ok``.
    """

    request_id: str
    attempt: int
    shard: str
    index_version: int
    outcome: str
    hits: list[hit.Hit] = dataclasses.field(default_factory=list)
    retry_after_ms: int = 0
