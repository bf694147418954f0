"""Which part of each burst of hedges belongs to which gateway.

Load pattern: gateways join, are replaced and are cut off while all of them
want hedges, and a few of them near the searchers send most of the requests.
Each computes its part from its copies of the lists of gateways and searchers,
and no two copies need be the same. The parts in use never add up to more than
one, in any order of events, because

* a gateway uses no part while its lists are older than ``MAX_LIST_AGE_S``;
* a gateway uses its part only once its entry is settled, that is, has been in
  the store for as long as that: all lists in use have it by then. The entry
  outlives the process, so that a restarted gateway need not wait again;
* an entry is marked for longer than that before it is removed
  (``gateway_removal``), and a marked gateway uses no part;
* searchers in its data centre raise a gateway's part only once all others
  count them (``service_locations``).
"""

import dataclasses
import math
from collections.abc import Collection, Mapping

from chivepond.decisions import list_age, service_locations

#: Maximum age of the lists by which a part is used, in seconds. Updates reach
#: every gateway within a few seconds, also through others.
MAX_LIST_AGE_S = 8.0
#: Share of a gateway by its link: a gateway with a link several times wider
#: than its neighbours' gathers for most of them.
_LINK_EXPONENT = 1.5
#: Weight of a gateway in a data centre without a searcher of the service.
_REMOTE_WEIGHT = 0.1


@dataclasses.dataclass(slots=True, frozen=True)
class BurstGrant:
    """What a gateway may use of a burst now."""

    #: Fraction of the burst, 0 to 1.
    part: float
    #: Since when it may use any, in seconds of the steady clock.
    since: float


#: The grant of a gateway that may use no part.
NO_GRANT = BurstGrant(0, math.inf)


@dataclasses.dataclass(slots=True, frozen=True)
class Listed:
    """The listed gateways, and the place of this one among them."""

    own_mbps: float
    own_data_centre: str
    #: Sum of the weights of the gateways of each data centre, including this
    #: one.
    weight_by_data_centre: Mapping[str, float]

    def part(
        self,
        settled: Collection[str],
        possible: Collection[str] | None,
    ) -> float:
        """Return the fraction of a burst that belongs to this gateway, 0 to 1.

        ``settled`` and ``possible`` are the data centres of the searchers that
        all gateways count, and that any may count; none is all of them.
        """
        total = math.fsum(
            weight
            if possible is None or data_centre in possible
            else _REMOTE_WEIGHT * weight
            for data_centre, weight in self.weight_by_data_centre.items()
        )
        own = link_weight(self.own_mbps)
        if self.own_data_centre not in settled:
            own *= _REMOTE_WEIGHT
        return own / total


@dataclasses.dataclass(slots=True, frozen=True)
class Knowledge:
    """What a gateway knows of the lists in the store."""

    #: The ages of the lists of gateways and of searchers.
    ages: tuple[list_age.ListAge, ...]
    locations: service_locations.ServiceLocations
    #: Since when its own entry has been settled, in seconds of the steady
    #: clock; none while it is not.
    settled_since: float | None


def grant(
    service: str, listed: Listed, knowledge: Knowledge, now: float
) -> BurstGrant:
    """Return what a gateway may use of the burst of a service at ``now``."""
    is_current = knowledge.ages and all(
        age.is_current(now) for age in knowledge.ages
    )
    if knowledge.settled_since is None or not is_current:
        return NO_GRANT
    known_since = max(age.current_since for age in knowledge.ages)
    return BurstGrant(
        listed.part(
            knowledge.locations.settled(service, now, known_since),
            knowledge.locations.possible(service, now, known_since),
        ),
        knowledge.settled_since,
    )


def link_weight(link_mbps: float) -> float:
    """Return the weight of a gateway by its link."""
    return max(1, link_mbps) ** _LINK_EXPONENT
