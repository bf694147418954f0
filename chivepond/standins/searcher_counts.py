"""What a stand-in searcher has counted."""

import dataclasses


@dataclasses.dataclass(slots=True)
class SearcherCounts:
    """Counters since the start, for tests and reports."""

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
