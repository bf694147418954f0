"""The answer to a search."""

import dataclasses

from chivepond.wire import coverage
from chivepond.wire import hit
from chivepond.wire import snapshot


@dataclasses.dataclass(slots=True, frozen=True)
class SearchAnswer:
    """Hits from one snapshot, with what they cover.

    ``cursor`` asks for the next page of the same snapshot; empty at the end.
    """

    request_id: str
    snapshot: snapshot.Snapshot
    coverage: coverage.Coverage
    hits: list[hit.Hit]
    cursor: str = ''
