"""The progress of one shard of a query."""

import dataclasses

from chivepond.owner import attempt


@dataclasses.dataclass(slots=True)
class ShardProgress:
    """Replicas of a shard, those tried so far, and the attempts at them.

    ``attempts`` has one entry for each searcher id in ``tried``, in the same
    order. ``in_flight`` counts attempts without a reply, and ``reason`` is
    the outcome of the last failed attempt.
    """

    replicas: list[str]
    tried: list[str]
    attempts: list[attempt.Attempt]
    in_flight: int = 0
    reason: str = ''
