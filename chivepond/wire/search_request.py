"""A search as a caller sends it."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class SearchRequest:
    """A search over all shards of one service.

    ``deadline_ms`` counts from the arrival of the request; zero takes the
    service's own. ``limit`` is the number of hits wanted, best first.
    """

    service: str
    query: str
    caller: str
    limit: int = 10
    deadline_ms: int = 0
    request_class: str = 'interactive'
    request_id: str = ''
    cursor: str = ''
