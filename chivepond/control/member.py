"""What a node knows of another node."""

import dataclasses

ALIVE = 'alive'
SUSPECT = 'suspect'
DEAD = 'dead'
LEAVING = 'leaving'

#: Which of two states of one incarnation counts: the later one here.
ORDER = (ALIVE, SUSPECT, DEAD, LEAVING)


@dataclasses.dataclass(slots=True)
class Member:
    """State of another node, since when, and how far it is.

    Times are seconds of the local clock; ``round_trip_s`` is smoothed.
    ``told`` counts how often this state has been passed on.
    """

    node_id: str
    since: float
    state: str = ALIVE
    incarnation: int = 0
    round_trip_s: float = 0
    told: int = 0
