"""What a node says of itself to operators."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class NodeStatus:
    """State of a node; ``waits_for`` is empty when it is ready."""

    node_id: str
    data_centre: str
    revision: int
    waits_for: str
    live_nodes: list[str]
    searchers: int
    refused_revision: int = 0
    refused_because: str = ''
