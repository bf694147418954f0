"""One record that matches a search."""

import dataclasses


@dataclasses.dataclass(slots=True)
class Hit:
    """A matching record with its score.

    Better matches have a higher ``score``; ``record_id`` breaks ties.
    """

    record_id: str
    score: float
    shard: str
    body: str = ''
