"""One record that a search found."""

import dataclasses


@dataclasses.dataclass(slots=True)
class Hit:
    """One record with its rank.

    ``score`` is higher for better matches; ties are broken by ``record_id``.
    """

    record_id: str
    score: float
    shard: str
    body: str = ''
