"""What operators see of the whole deployment."""

import dataclasses

from chivepond.wire import aged_status, node_status


@dataclasses.dataclass(slots=True, frozen=True)
class DeploymentStatus:
    """The view of the node asked, and what each data centre wrote.

    ``read_age_s`` tells how long ago this node read ``data_centres`` from
    the platform, null if it never could; ``trouble`` why it could not now.
    """

    node: node_status.NodeStatus
    data_centres: list[aged_status.AgedStatus]
    read_age_s: float | None
    trouble: str
