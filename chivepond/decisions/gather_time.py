"""When a gathered answer is given with the parts that are in.

Load pattern: one shard of many is slow, paused or down, and the others wait
for it. An answer at the target latency that lacks a part is worth more than
a whole one that is late; one below the least share is no answer at all.
"""

import dataclasses

#: What the merge and the wake-ups of both sides take, in seconds.
_MERGE_S = 0.004
#: The same for bytes on a slow link, as a share of the target latency.
_WAY_BACK_SHARE = 0.04


@dataclasses.dataclass(slots=True, frozen=True)
class Coverage:
    """How many shards there are, and how many an answer needs."""

    shards: int
    least_share: float

    @property
    def needed(self) -> int:
        """The smallest number of parts that makes a success."""
        whole = int(self.least_share * self.shards)
        is_enough = whole / self.shards >= self.least_share
        return max(1, whole if is_enough else whole + 1)


def answer_at(
    came_at: float,
    target_latency_s: float,
    way_s: float,
) -> float:
    """Return when to answer with what is in, on the steady clock.

    ``way_s`` is what the client's ways took and will take: one round trip on a
    connection that was open, two on a new one.
    """
    away_s = way_s + _MERGE_S + _WAY_BACK_SHARE * target_latency_s
    return came_at + max(target_latency_s / 2, target_latency_s - away_s)
