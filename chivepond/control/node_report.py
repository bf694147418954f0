"""What a node of the data centre last said of itself."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class NodeReport:
    """Revision in force and searchers owned; ``heard_at`` in local seconds."""

    revision: int
    searchers_by_state: dict[str, int]
    heard_at: float
