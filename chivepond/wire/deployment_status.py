"""The status of the whole deployment, for operators."""

import dataclasses

from chivepond.wire import aged_status, node_status


@dataclasses.dataclass(slots=True, frozen=True)
class DeploymentStatus:
    """The status of the queried node and of each data centre.

    ``read_age_s`` is the time since this node last read ``data_centres`` from
    the platform, null if it never succeeded. ``trouble`` is the error of the
    latest read, empty if it succeeded.
    """

    node: node_status.NodeStatus
    data_centres: list[aged_status.AgedStatus]
    read_age_s: float | None
    trouble: str
