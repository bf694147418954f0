"""The counts from which the burn rates of one service are computed."""

import dataclasses

from chivepond.wire import window_counts


@dataclasses.dataclass(slots=True, frozen=True)
class ServiceBurn:
    """Targets of the objectives as shares of 1, and counts for each window."""

    service: str
    target_by_objective: dict[str, float]
    windows: list[window_counts.WindowCounts]
