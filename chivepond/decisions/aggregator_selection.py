"""Which gateway of a data centre gathers search results for the others.

Load pattern: most hosts have narrow links, and the partial results of one
search occupy such a link for its whole target latency: 90 parts of 1,000 bytes
with their headers take 80 ms at 12 Mbit/s. The few hosts with wide links
receive the parts and forward one small message. A few gateways also keep their
connections to searchers open, where many would each open new ones for every
search.
"""

import dataclasses
from collections.abc import Callable, Sequence

#: A link is wide if it has at least this share of the bandwidth of the widest
#: link; machines of one class differ by less.
_MIN_WIDE_SHARE = 0.5
#: How many times wider a link in the gateway's own data centre must be to be
#: worth the time of an extra hop.
_MIN_HOP_FACTOR = 3.0
#: Weight of a gateway with a narrow link beside gateways with wide ones: it
#: gathers only where the wide ones are unreachable.
_NARROW_WEIGHT = 0.2
#: A gateway with an open connection is preferred if it is at most this many
#: times slower than the fastest one.
_MAX_WARM_FACTOR = 2.0


@dataclasses.dataclass(slots=True, frozen=True)
class Aggregator:
    """A gateway that can gather results for another one."""

    node_id: str
    link_mbps: float
    #: Expected duration of one more gather at this gateway, in seconds.
    expected_s: float
    #: Whether an idle open connection to it exists.
    is_warm: bool = False


def is_wider(link_mbps: float, own_mbps: float) -> bool:
    """Tell whether a neighbour's wider link makes up for an extra hop."""
    return link_mbps >= _MIN_HOP_FACTOR * own_mbps


def gather_weight(own_mbps: float, links_mbps: Sequence[float]) -> float:
    """Return a gateway's share of the gather requests of its data centre.

    A weight of 1 is an even share. ``links_mbps`` holds the links of all
    gateways of the data centre, including this one. The weights of all
    gateways add up to their number, so a bound that is divided by weight is
    kept.
    """
    widest = max(links_mbps)
    wide = [
        mbps
        for mbps in links_mbps
        if mbps >= _MIN_WIDE_SHARE * widest and is_wider(mbps, min(links_mbps))
    ]
    if not wide:
        return 1
    if own_mbps < min(wide):
        return _NARROW_WEIGHT
    narrow_count = len(links_mbps) - len(wide)
    return 1 + (1 - _NARROW_WEIGHT) * narrow_count / len(wide)


def choose(
    helpers: Sequence[Aggregator],
    rng: Callable[[], float],
) -> Aggregator | None:
    """Return the faster of two wide-link gateways picked with ``rng``.

    Gateways with an idle open connection are preferred: a new connection costs
    one more round trip, which is much of the time of a short search between
    regions. Returns ``None`` if there are no ``helpers``.
    """
    widest = max((helper.link_mbps for helper in helpers), default=0)
    wide = [
        helper
        for helper in helpers
        if helper.link_mbps >= _MIN_WIDE_SHARE * widest
    ]
    if not wide:
        return None
    quickest_s = min(map(_expected_s, wide))
    warm = [
        helper
        for helper in wide
        if helper.is_warm and helper.expected_s <= _MAX_WARM_FACTOR * quickest_s
    ]
    wide = warm or wide
    first_index = int(rng() * len(wide))
    step = 1 + int(rng() * (len(wide) - 1))
    second_index = (first_index + step) % len(wide)
    return min(wide[first_index], wide[second_index], key=_expected_s)


def _expected_s(helper: Aggregator) -> float:
    return helper.expected_s
