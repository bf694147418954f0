"""A search request from a caller."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class SearchRequest:
    """A search over all shards of one service.

    ``deadline_ms`` starts at the arrival of the request; 0 selects the default
    of the service. ``limit`` is the maximum number of hits, best first.
    """

    service: str
    query: str
    caller: str
    limit: int = 10
    deadline_ms: int = 0
    request_class: str = 'interactive'
    request_id: str = ''
    cursor: str = ''
