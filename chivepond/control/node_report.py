"""The last status report of a node of this data centre."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class NodeReport:
    """Revision in force and number of owned searchers by state.

    ``heard_at`` is the time of receipt, in seconds of the local clock.
    """

    revision: int
    searchers_by_state: dict[str, int]
    heard_at: float
