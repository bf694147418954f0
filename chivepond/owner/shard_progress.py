"""How far one shard of a call is."""

import dataclasses

from chivepond.owner import attempt


@dataclasses.dataclass(slots=True)
class ShardProgress:
    """Searchers tried so far, and attempts that may still be answered.

    ``attempts`` has one for each searcher of ``tried``, in that order.
    """

    replicas: list[str]
    tried: list[str]
    attempts: list[attempt.Attempt]
    in_flight: int = 0
    reason: str = ''
