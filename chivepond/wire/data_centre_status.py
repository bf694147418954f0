"""The status of one data centre, as stored on the platform."""

import dataclasses

from chivepond.wire import section_refusal


@dataclasses.dataclass(slots=True, frozen=True)
class DataCentreStatus:
    """A summary of the recent heartbeats of a data centre's nodes.

    ``written_at`` is in seconds since 1970. ``silent`` is the number of
    ``nodes`` without a recent heartbeat; ``nodes_by_revision`` counts the
    others, and ``searchers_by_state`` counts their searchers.
    """

    data_centre: str
    written_by: str
    written_at: float
    nodes: int
    silent: int
    nodes_by_revision: dict[int, int]
    searchers_by_state: dict[str, int]
    refusals: list[section_refusal.SectionRefusal]
