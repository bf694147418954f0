"""Counters of a stand-in searcher."""

import dataclasses


@dataclasses.dataclass(slots=True)
class SearcherCounts:
    """Counts since the start; ``last_work_at`` is in event loop seconds."""

    batches: int = 0
    sub_queries: int = 0
    shed: int = 0
    cancelled: int = 0
    connections: int = 0
    peak_connections: int = 0
    refused_connections: int = 0
    peak_busy_slots: int = 0
    last_work_at: float = 0
    runs_by_key: dict[str, int] = dataclasses.field(default_factory=dict)
