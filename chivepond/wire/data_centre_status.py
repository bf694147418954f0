"""The status of one data centre, as kept on the platform."""

import dataclasses

from chivepond.wire import section_refusal


@dataclasses.dataclass(slots=True, frozen=True)
class DataCentreStatus:
    """What the nodes of a data centre said of themselves lately.

    ``written_at`` is in seconds since 1970. ``silent`` of the ``nodes`` have
    not been heard of lately; the others are counted in
    ``nodes_by_revision``, and their searchers in ``searchers_by_state``.
    """

    data_centre: str
    written_by: str
    written_at: float
    nodes: int
    silent: int
    nodes_by_revision: dict[int, int]
    searchers_by_state: dict[str, int]
    refusals: list[section_refusal.SectionRefusal]
