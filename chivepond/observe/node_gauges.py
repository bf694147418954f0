"""Gauges of a node that are read on each scrape."""

import dataclasses
from collections.abc import Callable


@dataclasses.dataclass(slots=True, frozen=True)
class NodeGauges:
    """The state of a node at the moment of a scrape."""

    revision: int
    live_nodes: int
    searchers: int
    is_ready: bool
    unsigned_refused: int
    memory_refused: int
    connections_by_side: dict[str, int]
    platform_calls_by_result: dict[str, int]


ReadGauges = Callable[[], NodeGauges]
