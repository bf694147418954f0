"""What a node tells of service-level burn."""

import dataclasses

from chivepond.wire import service_burn


@dataclasses.dataclass(slots=True, frozen=True)
class NodeBurn:
    """Counts of one node, by service."""

    node_id: str
    services: list[service_burn.ServiceBurn]
