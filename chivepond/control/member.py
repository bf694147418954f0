"""What a node knows of another node."""

import dataclasses

ALIVE = 'alive'
SUSPECT = 'suspect'
DEAD = 'dead'
LEAVING = 'leaving'


@dataclasses.dataclass(slots=True)
class Member:
    """State of another node, when it was last heard, how far it is.

    Times are seconds of the local clock; ``round_trip_s`` is smoothed.
    """

    node_id: str
    heard_at: float
    incarnation: int = 0
    is_leaving: bool = False
    round_trip_s: float = 0
