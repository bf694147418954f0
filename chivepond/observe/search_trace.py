"""What a search leaves for its proof besides its answer."""

import dataclasses


@dataclasses.dataclass(slots=True)
class SearchTrace:
    """Filled in while a search runs; one for each request.

    ``waited_share`` is the share of its shards whose work waited long.
    """

    request_id: str
    started_at: float
    attempts: int = 0
    waited_share: float = 0
    snapshot: str = ''
