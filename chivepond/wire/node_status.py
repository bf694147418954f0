"""What a node says of itself to operators."""

import dataclasses

from chivepond.wire import section_refusal


@dataclasses.dataclass(slots=True, frozen=True)
class NodeStatus:
    """State of a node; ``waits_for`` is empty when it is ready.

    ``refusals`` are those of the newest draft that was judged.
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
