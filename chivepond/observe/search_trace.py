"""Data on a running search for its log event and metrics."""

import dataclasses


@dataclasses.dataclass(slots=True)
class SearchTrace:
    """Data on one search request, filled in while the request runs.

    ``attempts`` counts sub-queries sent, including retries and hedges.
    ``waited_share`` is the share of shards whose work was queued for long.
    ``snapshot`` is index@version.
    """

    request_id: str
    started_at: float
    attempts: int = 0
    waited_share: float = 0
    snapshot: str = ''
