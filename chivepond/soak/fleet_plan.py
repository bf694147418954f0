"""What a soak of a fleet runs, and which faults it injects."""

import dataclasses
import types
from collections.abc import Mapping

from chivepond.soak import second_sends

#: Data centres, two in each region. Only the first three have searchers.
REGION_BY_DATA_CENTRE: Mapping[str, str] = types.MappingProxyType(
    {
        'pier': 'coast',
        'hub': 'inland',
        'lodge': 'hills',
        'quay': 'coast',
        'yard': 'inland',
        'ridge': 'hills',
    }
)
DATA_CENTRES = tuple(REGION_BY_DATA_CENTRE)
#: One of so many gateways of a data centre has a wide link.
_WIDE_EVERY = 6
_WIDE_MBPS = 200.0
_NARROW_MBPS = 20.0


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class FleetPlan:
    """Sizes of the fleet, its load, and the pauses between faults."""

    gateways: int
    shards: tuple[str, ...] = ('a', 'b', 'c', 'd', 'e', 'f')
    #: Searchers of each shard, each in another region.
    copies: int = 3
    #: Searches of clients, per second.
    searches_per_s: float = 64
    callers: int = 40
    budget: second_sends.Budget = second_sends.Budget(
        share=0.2, burst=184, window_s=10
    )
    #: Seconds from the start of the traffic to the first fault.
    calm_s: float = 5
    #: Pause between two restarts in a series, in seconds; zero restarts none.
    restart_gap_s: float = 1
    #: Share of the gateways that each restart hits.
    restarted_share: float = 1
    #: Whether only gateways with wide links are restarted, which send most of
    #: the requests.
    restarts_wide_only: bool = False
    #: Pause between two moves of every other service to other data centres, in
    #: seconds; zero moves none.
    move_gap_s: float = 0

    def data_centre(self, number: int) -> str:
        """Return the data centre of the gateway with this number."""
        return DATA_CENTRES[number % len(DATA_CENTRES)]

    def link_mbps(self, number: int) -> float:
        """Return the bandwidth of a gateway's link in Mbit/s."""
        return _WIDE_MBPS if self.is_wide(number) else _NARROW_MBPS

    def is_wide(self, number: int) -> bool:
        """Return whether a gateway has a wide link."""
        return not (number - 1) // len(DATA_CENTRES) % _WIDE_EVERY
