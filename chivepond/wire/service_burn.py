"""The counts from which the burn of one service is worked out."""

import dataclasses

from chivepond.wire import window_counts


@dataclasses.dataclass(slots=True, frozen=True)
class ServiceBurn:
    """Objectives as shares of 1, and counts for each window."""

    service: str
    target_by_objective: dict[str, float]
    windows: list[window_counts.WindowCounts]
