"""What a search leaves for its proof besides its answer."""

import dataclasses


@dataclasses.dataclass(slots=True)
class SearchTrace:
    """Filled in while a search runs; one for each request."""

    request_id: str
    started_at: float
    attempts: int = 0
    snapshot: str = ''
