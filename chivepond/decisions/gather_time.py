"""When a gather answers with the parts that have arrived.

Load pattern: one shard of many is slow, paused or down, and the others wait
for it. A response at the target latency with a part missing is worth more than
a complete one that is late; a response below the minimum share of shards is a
failure.
"""

import dataclasses

#: Time for the merge and the wake-ups of both sides, in seconds.
_MERGE_TIME_S = 0.004
#: Time to send the response over a slow link, as a share of the target
#: latency.
_RETURN_TRANSFER_SHARE = 0.04


@dataclasses.dataclass(slots=True, frozen=True)
class Coverage:
    """The number of shards and the minimum share that a response needs."""

    shards: int
    least_share: float

    @property
    def needed(self) -> int:
        """The smallest number of parts that makes a success."""
        rounded_down = int(self.least_share * self.shards)
        is_enough = rounded_down / self.shards >= self.least_share
        return max(1, rounded_down if is_enough else rounded_down + 1)


def answer_at(
    arrived_at: float,
    target_latency_s: float,
    network_s: float,
) -> float:
    """Return when to answer with the available parts, on the steady clock.

    ``arrived_at`` is when the request arrived. ``network_s`` is the network
    time between client and gateway, in seconds: one round trip on an open
    connection, two on a new one. The result is at least half the target
    latency after the arrival.
    """
    reserve_s = (
        network_s + _MERGE_TIME_S + _RETURN_TRANSFER_SHARE * target_latency_s
    )
    return arrived_at + max(target_latency_s / 2, target_latency_s - reserve_s)
