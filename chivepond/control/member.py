"""The state of a peer as known to this node."""

import dataclasses

ALIVE = 'alive'
SUSPECT = 'suspect'
DEAD = 'dead'
LEAVING = 'leaving'

#: Of two states of one incarnation, the later in this order takes effect.
ORDER = (ALIVE, SUSPECT, DEAD, LEAVING)


@dataclasses.dataclass(slots=True)
class Member:
    """Membership state of a peer and the round trip to it.

    ``since`` is the time of the last state change in seconds of the local
    clock. ``round_trip_s`` is smoothed, 0 if unknown. ``told`` is the number
    of heartbeats that have carried the current state.
    """

    node_id: str
    since: float
    state: str = ALIVE
    incarnation: int = 0
    round_trip_s: float = 0
    told: int = 0
