"""Who is at the other end of a link, and how it is reached."""

import dataclasses

from chivepond.decisions import upstream_health
from chivepond.transport import address

#: How long a new connection may take, in seconds. A first packet that is lost
#: is sent again after a second; another searcher is asked by then.
_CONNECT_S = 0.6
#: The time-out of idle connections of a searcher that states none, in seconds.
_IDLE_S = 10.0


@dataclasses.dataclass(slots=True, frozen=True)
class LinkEnd:
    """Who is at the other end of a link."""

    name: str
    address: address.Address
    #: How many requests it works on at a time.
    slots: int
    #: Failures in a row after which it is distrusted.
    failures: int = upstream_health.USUAL_FAILURES
    #: How long a new connection may take, in seconds.
    connect_s: float = _CONNECT_S
    #: How long an idle connection is kept where the other end states no
    #: time-out, in seconds.
    idle_s: float = _IDLE_S
