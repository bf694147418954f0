"""A search over all shards and its deadlines."""

import dataclasses

from chivepond.decisions import gather_time
from chivepond.gateway import forwarded_request, routing_table


@dataclasses.dataclass(slots=True)
class Search:
    """A search request; times are in seconds on the monotonic clock."""

    request: forwarded_request.ForwardedRequest
    route: routing_table.Route
    target: routing_table.AllShards
    received_at: float
    deadline: float
    #: Network delay of the request and its response, in seconds.
    network_delay_s: float

    @property
    def answer_at(self) -> float:
        """When the response is due, with the results so far."""
        at = gather_time.answer_at(
            self.received_at,
            self.route.target_latency_s,
            self.network_delay_s,
        )
        return min(at, self.deadline)
