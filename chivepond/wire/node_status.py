"""The status of a node, for operators."""

import dataclasses

from chivepond.wire import section_refusal


@dataclasses.dataclass(slots=True, frozen=True)
class NodeStatus:
    """The state of a node.

    ``waits_for`` is what the node needs before it is ready, empty once it is.
    ``refusals`` belong to the newest draft that was validated.
    """

    node_id: str
    data_centre: str
    revision: int
    waits_for: str
    live_nodes: list[str]
    searchers: int
    refusals: list[section_refusal.SectionRefusal] = dataclasses.field(
        default_factory=list,
    )
