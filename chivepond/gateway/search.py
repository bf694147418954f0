"""One search over all shards, and when it is answered."""

import dataclasses

from chivepond.decisions import gather_time
from chivepond.gateway import forwarded_request, routing_table


@dataclasses.dataclass(slots=True)
class Search:
    """One gathered request; times are on the steady clock."""

    request: forwarded_request.ForwardedRequest
    route: routing_table.Route
    target: routing_table.AllShards
    came_at: float
    deadline: float
    #: What the client's ways there and back take, in seconds.
    way_s: float

    @property
    def answer_at(self) -> float:
        """When to answer with what is in."""
        at = gather_time.answer_at(
            self.came_at,
            self.route.target_latency_s,
            self.way_s,
        )
        return min(at, self.deadline)
