"""The response to a search."""

import dataclasses

from chivepond.wire import coverage
from chivepond.wire import hit
from chivepond.wire import snapshot


@dataclasses.dataclass(slots=True, frozen=True)
class SearchAnswer:
    """Hits from one snapshot, with the coverage of its shards.

    ``cursor`` requests the next page of the same snapshot; it is empty on the
    last page.
    """

    request_id: str
    snapshot: snapshot.Snapshot
    coverage: coverage.Coverage
    hits: list[hit.Hit]
    cursor: str = ''
