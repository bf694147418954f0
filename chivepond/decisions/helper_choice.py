"""Which gateway of a data centre gathers for the others.

Load pattern: most hosts have narrow links, and the parts of one search hold
such a link for as long as its whole target latency: 90 parts of 1,000 bytes
and their headers take 80 ms of 12 Mbit/s. The few hosts with wide links take
the parts in and hand on one small message. Few also keep their connections
to searchers warm, where many would each open new ones for every search.
"""

import dataclasses
from collections.abc import Callable, Sequence

#: A link counts as wide from this share of the widest on; machines of one
#: class differ by less.
_WIDE_SHARE = 0.5
#: How many times wider a link in the own data centre must be to be worth a
#: hop and its time.
_WORTH_FACTOR = 3.0


@dataclasses.dataclass(slots=True, frozen=True)
class Helper:
    """A gateway that may be asked."""

    node_id: str
    link_mbps: float
    #: Seconds that one more gather would take it.
    expected_s: float


def is_wider(link_mbps: float, own_mbps: float) -> bool:
    """Tell whether a hop to a neighbour's link is worth its time."""
    return link_mbps >= _WORTH_FACTOR * own_mbps


def choose(
    helpers: Sequence[Helper],
    rng: Callable[[], float],
) -> Helper | None:
    """Return the quicker of two with wide links, picked by ``rng``."""
    widest = max((one.link_mbps for one in helpers), default=0)
    wide = [one for one in helpers if one.link_mbps >= _WIDE_SHARE * widest]
    if not wide:
        return None
    first = wide[int(rng() * len(wide))]
    second = wide[int(rng() * len(wide))]
    return min(first, second, key=_expected_s)


def _expected_s(one: Helper) -> float:
    return one.expected_s
