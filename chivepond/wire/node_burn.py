"""The request counts of a node, for error budget burn rates."""

import dataclasses

from chivepond.wire import service_burn


@dataclasses.dataclass(slots=True, frozen=True)
class NodeBurn:
    """Counts of one node for each service."""

    node_id: str
    services: list[service_burn.ServiceBurn]
